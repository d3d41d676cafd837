package config_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"endiveflow.example/endiveflow/config"
)

// servicesAtTarget is the number of services at the target size.
const servicesAtTarget = 9300

func objectsAtTarget() []config.Object {
	var out []config.Object
	for i := range servicesAtTarget {
		name := fmt.Sprintf("service-%d", i)
		network := fmt.Sprintf("10.%d.%d.0/26", i>>8, i&255)
		s := service(name, uint64(2*i+1))
		s.Service.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443)
		out = append(out, s, upstream(name, name, network, uint64(2*i+2)))
	}
	for i := range 100 {
		out = append(out, exception(fmt.Sprintf("x-%d", i), fmt.Sprintf("host/10.0.%d.1", i), config.SettingDrain, "true", uint64(30000+i)))
	}
	return out
}

// BenchmarkView measures the operations of an entry's view at the target size.
func BenchmarkView(b *testing.B) {
	objects := objectsAtTarget()
	v := config.NewView()
	for _, o := range objects {
		v.Apply(o)
	}
	tag := config.TagOf("service-77")
	host := netip.MustParseAddr("10.0.77.1")
	b.Run("AllowsHost", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if !v.AllowsHost(tag, host) {
					b.Error("host is not allowed")
				}
			}
		})
	})
	b.Run("Policy", func(b *testing.B) {
		for b.Loop() {
			v.Policy("service-77", host)
		}
	})
	b.Run("DigestFor", func(b *testing.B) {
		for b.Loop() {
			v.DigestFor(tag)
		}
	})
	b.Run("ApplyAll", func(b *testing.B) {
		for b.Loop() {
			fresh := config.NewView()
			for _, o := range objects {
				fresh.Apply(o)
			}
		}
	})
	b.Run("CheckObjects", func(b *testing.B) {
		for b.Loop() {
			if err := config.CheckObjects(objects); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkViewMemory reports the memory of a view by the number of services, each with an Upstream.
func BenchmarkViewMemory(b *testing.B) {
	objects := objectsAtTarget()
	for _, services := range []int{930, 3100, servicesAtTarget} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				v := config.NewView()
				for _, o := range objects[:2*services] {
					v.Apply(o)
				}
				after := heapInUse()
				runtime.KeepAlive(v)
				b.ReportMetric(float64(after-before)/float64(services), "bytes/service")
			}
		})
	}
}

// heapInUse returns the bytes allocated on the heap after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
