package config

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type object = map[string]any

var enums = map[reflect.Type][]any{
	reflect.TypeFor[LogOutagePolicy](): {RefuseDuringOutage, RunDuringOutage},
	reflect.TypeFor[Fencing]():         {FencingChecks, FencingIgnores},
	reflect.TypeFor[Measure]():         {MeasureTimeToFirstToken, MeasureInterTokenLatency, MeasureAvailability, MeasureLatency},
	reflect.TypeFor[CallKind]():        {CallIdempotent, CallAtMostOnce, CallStream},
}

// requiredPaths returns the members without which an otherwise empty entry is invalid.
func requiredPaths() map[string]bool {
	empty := &Document{
		Regions: make([]Region, 1), Accelerators: []Accelerator{NewAccelerator()}, Links: make([]Link, 1),
		Models: make([]Model, 1), Services: []Service{NewService()}, Servers: make([]Server, 1),
		Teams: []Team{NewTeam()}, Objectives: make([]Objective, 1),
		Routes: []Route{NewRoute()},
	}
	empty.Routes[0].Targets = make([]RouteTarget, 1)
	empty.Services[0].Idempotent = make([]CallRule, 1)
	required := map[string]bool{"regions": true}
	for _, f := range empty.Validate() {
		if !strings.HasSuffix(f.Path, "]") {
			required[strings.ReplaceAll(f.Path, "[0]", "")] = true
		}
	}
	return required
}

func schemaOf(t reflect.Type, path, member string, required map[string]bool) object {
	switch {
	case t == durationType:
		return object{"type": "string", "pattern": `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$|^0$`}
	case enums[t] != nil:
		return object{"type": "string", "enum": enums[t]}
	case t.Kind() == reflect.Struct:
		return schemaOfStruct(t, path, required)
	case t.Kind() == reflect.Slice:
		return object{"type": "array", "items": schemaOf(t.Elem(), path, member, required)}
	case t.Kind() == reflect.String:
		return object{"type": "string", "pattern": textPattern(member)}
	case t.Kind() == reflect.Float64:
		return object{"type": "number"}
	case t.Kind() == reflect.Bool:
		return object{"type": "boolean"}
	default:
		return object{"type": "integer"}
	}
}

func textPattern(member string) string {
	switch member {
	case "key_hashes":
		return hashPattern
	case "path_prefix":
		return "^/"
	case "method":
		return "^(" + strings.Join(allowedMethods, "|") + ")$"
	default:
		return namePattern
	}
}

func schemaOfStruct(t reflect.Type, path string, required map[string]bool) object {
	members, requiredNames := object{}, []string{}
	for i := range t.NumField() {
		f := t.Field(i)
		name := memberName(f)
		child := joinPath(path, name)
		m := schemaOf(f.Type, child, name, required)
		if value := defaultValue(t).Field(i); !value.IsZero() {
			m["default"] = value.Interface()
			if f.Type == durationType {
				m["default"] = fmt.Sprint(value.Interface())
			}
		}
		members[name] = m
		if required[child] && !strings.HasSuffix(f.Tag.Get("yaml"), ",omitempty") {
			requiredNames = append(requiredNames, name)
		}
	}
	return object{"type": "object", "additionalProperties": false, "properties": members, "required": requiredNames}
}

// Guards against a published schema that lacks a member or does not match the
// types and defaults. UPDATE_DOCS=1 rewrites the file.
func TestSchemaMatchesTypes(t *testing.T) {
	schema := schemaOf(reflect.TypeFor[Document](), "", "", requiredPaths())
	schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
	schema["title"] = "sapphirefield configuration document"
	schema["properties"].(object)["schema"] = object{"const": SchemaVersion}
	var text strings.Builder
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	assert.NilError(t, encoder.Encode(schema))
	if os.Getenv("UPDATE_DOCS") != "" {
		assert.NilError(t, os.WriteFile("schema.json", []byte(text.String()), 0o644))
		return
	}
	assert.Equal(t, string(Schema), text.String())
}

// Guards against name or hash checks that differ from the published patterns.
func TestPatternsMatchChecks(t *testing.T) {
	name, hash := regexp.MustCompile(namePattern), regexp.MustCompile(hashPattern)
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.StringOf(rapid.RuneFrom([]rune("azAZ09._-/ é{`[@:g"))).Draw(t, "s")
		assert.Equal(t, isName(s), name.MatchString(s))
		h := rapid.StringOfN(rapid.RuneFrom([]rune("09af")), 63, 65, -1).Draw(t, "h") + s[:min(len(s), rapid.IntRange(0, 1).Draw(t, "n"))]
		assert.Equal(t, isHash(h), hash.MatchString(h))
	})
}
