package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// MaxObjectBytes is the largest size of an encoded object, which is the limit of the store for a value.
const MaxObjectBytes = 1 << 20

// Limits of decoding, which bound the memory that a malformed object can use.
const (
	maxArrayElements = 65536
	maxMapPairs      = 1024
	maxNestedLevels  = 16
)

// wireObject is the CBOR form of an Object. It uses the JSON field names, so the forms in the store and on the
// wire agree, and adds the version.
type wireObject struct {
	Object
	Version uint64 `json:"version"`
}

var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{
		Sort:          cbor.SortCoreDeterministic,
		Time:          cbor.TimeRFC3339Nano,
		TextMarshaler: cbor.TextMarshalerTextString,
	}.EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return m
}()

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return m
}()

// EncodeObject returns the CBOR form of an object, including its version. The error is of kind errors.NotValid
// if it exceeds MaxObjectBytes.
func EncodeObject(o Object) ([]byte, error) {
	b, err := encMode.Marshal(wireObject{Object: o, Version: o.Version})
	if err != nil {
		return nil, fmt.Errorf("encoding %s: %w", o.Key, err)
	}
	if len(b) > MaxObjectBytes {
		return nil, errors.NotValidf("%s of %d bytes, more than %d", o.Key, len(b), MaxObjectBytes)
	}
	return b, nil
}

// DecodeObject decodes the form returned by EncodeObject. Errors are of kind errors.NotValid.
func DecodeObject(b []byte) (Object, error) {
	if len(b) > MaxObjectBytes {
		return Object{}, errors.NotValidf("object of %d bytes, more than %d", len(b), MaxObjectBytes)
	}
	var w wireObject
	if err := decMode.Unmarshal(b, &w); err != nil {
		return Object{}, errors.NewNotValid(err, "decoding an object")
	}
	w.Object.Version = w.Version
	return w.Object, w.check()
}

// StorePrefix is the prefix of the store keys of all objects. It names a kind of the store that belongs to this
// project.
const StorePrefix = "endiveflow-config/"

// StoreKey returns the store key of an object.
func (k Key) StoreKey() string { return StorePrefix + k.String() }

// ParseKey parses "Kind/name". Errors are of kind errors.NotValid.
func ParseKey(text string) (Key, error) {
	kind, name, _ := strings.Cut(text, "/")
	k := Key{Kind: Kind(kind), Name: name}
	if !k.Kind.valid() || !namePattern.MatchString(name) {
		return Key{}, errors.NotValidf("key %q, expected KIND/NAME such as Service/rota with kind Service, Upstream, Defaults or Exception", text)
	}
	return k, nil
}

// EncodeValue returns the JSON form of an object for the store. It does not include the version, which the store
// returns along with the value.
func EncodeValue(o Object) ([]byte, error) {
	b, err := json.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encoding %s: %w", o.Key, err)
	}
	if len(b) > MaxObjectBytes {
		return nil, errors.NotValidf("%s of %d bytes, more than %d", o.Key, len(b), MaxObjectBytes)
	}
	return b, nil
}

// DecodeValue decodes the form returned by EncodeValue. Unknown fields are ignored, so that an older node can
// read the objects of a newer one. Errors are of kind errors.NotValid.
func DecodeValue(b []byte, version uint64) (Object, error) {
	var o Object
	if err := json.Unmarshal(b, &o); err != nil {
		return Object{}, errors.NewNotValid(err, "decoding a stored object")
	}
	o.Version = version
	return o, o.check()
}

// check verifies that exactly the specification of the object's kind is set.
func (o Object) check() error {
	if o.Name == "" {
		return errors.NotValidf("object without a name")
	}
	want := reflect.ValueOf(o).FieldByName(string(o.Kind))
	specs := 0
	for _, set := range []bool{o.Service != nil, o.Upstream != nil, o.Defaults != nil, o.Exception != nil} {
		if set {
			specs++
		}
	}
	switch {
	case !o.Kind.valid():
		return errors.NotValidf("kind %q", o.Kind)
	case specs == 0 && o.Deleted:
		return nil
	case specs != 1 || want.IsNil():
		return errors.NotValidf("%s without exactly the specification of its kind", o.Key)
	case len(o.Changes) > MaxChanges:
		return errors.NotValidf("%s with %d changes", o.Key, len(o.Changes))
	}
	return nil
}

func (k Kind) valid() bool {
	switch k {
	case KindService, KindUpstream, KindDefaults, KindException:
		return true
	}
	return false
}
