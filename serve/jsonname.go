package serve

import (
	"reflect"
	"strings"
)

// jsonName returns the name of a field in the settings file, so that errors use that name.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
