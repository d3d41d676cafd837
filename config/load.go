package config

import (
	"maps"
	"slices"
	"strings"

	"endiveflow.example/endiveflow/strictyaml"
)

// Set is an immutable set of valid objects to bring into force. Objects with other keys are not affected.
type Set struct{ objects []Object }

// NewSet returns a set of objects that the caller has validated.
func NewSet(objects ...Object) Set {
	out := slices.Clone(objects)
	sortObjects(out)
	return Set{objects: out}
}

// Objects returns the objects ordered by key. Their version is the one given in the file, on which the write is
// based, or 0. They have no changes.
func (s Set) Objects() []Object { return slices.Clone(s.objects) }

// envelope is one YAML document.
type envelope struct {
	Kind string `yaml:"kind"`
	Name string `yaml:"name"`
	// Version is the version that the operator read and edited, if given.
	Version int            `yaml:"version,omitempty"`
	Spec    strictyaml.Raw `yaml:"spec"`
}

// defaultsSpec is the form of Defaults that operators write, in which values may be numbers.
type defaultsSpec struct {
	Settings map[string]strictyaml.Scalar `yaml:"settings"`
}

// exceptionSpec is the form of an Exception that operators write.
type exceptionSpec struct {
	Target  string            `yaml:"target"`
	Setting string            `yaml:"setting"`
	Value   strictyaml.Scalar `yaml:"value"`
	Reason  string            `yaml:"reason"`
}

// loadedObject is an object with the document that contains it.
type loadedObject struct {
	Object
	doc *strictyaml.Document
}

// Load reads files that contain every object that their objects refer to. The error, a strictyaml.FileErrors,
// lists all problems; without an error the set is valid.
func Load(files ...string) (Set, error) { return LoadWith(nil, files...) }

// LoadWith reads files whose objects may refer to the objects in force. Objects in the files replace those in
// force with the same key.
func LoadWith(inForce []Object, files ...string) (Set, error) {
	var problems strictyaml.FileErrors
	var docs []*strictyaml.Document
	for _, name := range files {
		found, fileProblems := strictyaml.ReadFile(name)
		problems = append(problems, fileProblems...)
		docs = append(docs, found...)
	}
	return load(inForce, strings.Join(files, ", "), docs, problems)
}

// Parse is like LoadWith for data that is not in a file. The name stands for the file name in problems.
func Parse(inForce []Object, name string, data []byte) (Set, error) {
	docs, problems := strictyaml.Read(name, data)
	return load(inForce, name, docs, problems)
}

func load(inForce []Object, names string, docs []*strictyaml.Document, problems strictyaml.FileErrors) (Set, error) {
	objects := make([]loadedObject, len(docs))
	for i, doc := range docs {
		objects[i] = loadObject(doc)
	}
	newChecker(inForce, objects).check()
	for _, doc := range docs {
		problems = append(problems, doc.Problems...)
	}
	if len(docs) == 0 && len(problems) == 0 {
		problems = strictyaml.FileErrors{{File: names, Text: "no documents", Expected: "documents with kind, name and spec"}}
	}
	if err := problems.Err(); err != nil {
		return Set{}, err
	}
	out := make([]Object, len(objects))
	for i, o := range objects {
		out[i] = o.Object
	}
	return NewSet(out...), nil
}

// CheckObjects checks the live objects among those in force against each other, as Load checks files. Problems
// name the object in place of the file. Objects written by different operators can collide although each write
// was valid.
func CheckObjects(objects []Object) error {
	var docs []*strictyaml.Document
	var problems strictyaml.FileErrors
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		spec, err := specJSON(o)
		if err != nil {
			return err
		}
		found, objectProblems := strictyaml.Read("in force: "+o.String(), document(o, spec))
		docs = append(docs, found...)
		problems = append(problems, objectProblems...)
	}
	if len(docs) == 0 {
		return problems.Err()
	}
	_, err := load(nil, "in force", docs, problems)
	return err
}

// loadObject decodes a document. If problems were reported, parts of the object may be missing.
func loadObject(doc *strictyaml.Document) loadedObject {
	var e envelope
	doc.DecodeDocument(&e)
	o := loadedObject{Object: Object{Key: Key{Kind: Kind(e.Kind), Name: e.Name}}, doc: doc}
	if doc.Has("version") && !doc.Failed("version") && e.Version < 1 {
		doc.Reportf("version", "an integer of 1 or more", "version %d", e.Version)
	}
	o.Version = uint64(max(e.Version, 0))
	switch o.Kind {
	case KindService:
		o.Service = &Service{}
		doc.Decode(e.Spec, o.Service)
	case KindUpstream:
		o.Upstream = &Upstream{}
		doc.Decode(e.Spec, o.Upstream)
	case KindDefaults:
		var spec defaultsSpec
		doc.Decode(e.Spec, &spec)
		o.Defaults = &Defaults{Settings: make(map[Setting]string, len(spec.Settings))}
		for _, s := range slices.Sorted(maps.Keys(spec.Settings)) {
			o.Defaults.Settings[Setting(s)] = string(spec.Settings[s])
		}
	case KindException:
		var spec exceptionSpec
		doc.Decode(e.Spec, &spec)
		o.Exception = &Exception{Target: spec.Target, Setting: Setting(spec.Setting), Value: string(spec.Value), Reason: spec.Reason}
	default:
		if doc.Has("kind") && !doc.Failed("kind") {
			doc.Reportf("kind", "Service, Upstream, Defaults or Exception", "unknown kind %q", e.Kind)
		}
	}
	return o
}
