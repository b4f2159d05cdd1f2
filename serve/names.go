package serve

import (
	"reflect"
	"strings"
)

// jsonName makes faults name a field as the settings file does.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
