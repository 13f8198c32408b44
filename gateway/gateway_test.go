package gateway

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/settings"
)

func TestLimitsAreLogged(t *testing.T) {
	cases := map[string]struct {
		processorShare, cores float64
		waiting               float64
	}{
		"no CPU size in the settings": {0, 0, 200},
		"a fraction of a core":        {0.4, 0.48, 39},
	}
	for name, test := range cases {
		Convey("the limits derived from the memory and CPU size are logged: "+name, t, func() {
			document := settings.GatewayDefaults()
			document.MemoryMB = 184
			if test.cores > 0 {
				document.ProcessorShare, document.Cores = test.processorShare, test.cores
			}
			log := new(bytes.Buffer)
			gateway := &Gateway{Settings: document, Log: zerolog.New(log)}
			gateway.prepare()
			gateway.logLimits()
			var line map[string]any
			So(json.Unmarshal(log.Bytes(), &line), ShouldBeNil)
			So(line, ShouldResemble, map[string]any{
				"level": "info", "message": "gateway: limits derived from the memory and CPU size", "memory-mb": 184.0,
				"processor-share": document.ProcessorShare, "cores": document.Cores,
				"connections": 1472.0, "requests": 736.0, "waiting": test.waiting,
				"large-bodies-bytes": float64(38587596),
			})
		})
	}
}

// TestPaceSetting guards against a setting that does not reach the owners of targets.
func TestPaceSetting(t *testing.T) {
	cases := map[string]struct {
		text string
		pace bool
	}{
		"not set":    {"", true},
		"turned off": {"[admission]\npace = false", false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			// The findings are about settings that have no defaults.
			document, _ := settings.ParseGateway("gateway.toml", test.text)
			So(policyOf(document).Pace, ShouldEqual, test.pace)
		})
	}
}

// TestDutiesNeedSettings guards against a task, messages or calls of the singleton duties in deployments without them.
func TestDutiesNeedSettings(t *testing.T) {
	cases := map[string]struct {
		names                []string
		task, usage, scaling bool
	}{
		"no duties":       {nil, false, false, false},
		"usage reporting": {[]string{settings.UsageReporting}, true, true, false},
		"scaling":         {[]string{settings.Scaling}, true, false, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			document := settings.GatewayDefaults()
			document.Duties.Names = test.names
			gateway := &Gateway{Settings: document, Log: zerolog.Nop()}
			gateway.prepare()
			So(gateway.hasDuties(), ShouldEqual, test.task)
			So(gateway.router.Duties != nil, ShouldEqual, test.task)
			So(gateway.dutiesFor(settings.UsageReporting) != nil, ShouldEqual, test.usage)
			So(gateway.dutiesFor(settings.Scaling) != nil, ShouldEqual, test.scaling)
		})
	}
}
