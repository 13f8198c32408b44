package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	. "github.com/smartystreets/goconvey/convey"
)

var sectionMark = regexp.MustCompile(`\{\{#([a-z_.]+)\}\}`)

// fill fills in a template as the platform does: a section is kept for each entry of its field, or left out if there is none.
func fill(text string, fields map[string]any) string {
	for mark := sectionMark.FindStringSubmatchIndex(text); mark != nil; mark = sectionMark.FindStringSubmatchIndex(text) {
		name := text[mark[2]:mark[3]]
		body, after, _ := strings.Cut(text[mark[1]:], "{{/"+name+"}}")
		filled := ""
		entries, isList := fields[name].([]string)
		if _, found := fields[name]; found && !isList {
			filled = body
		}
		for index, entry := range entries {
			comma := ","
			if index == len(entries)-1 {
				comma = ""
			}
			filled += strings.NewReplacer("{{.}}", entry, "{{,}}", comma).Replace(body)
		}
		text = text[:mark[0]] + filled + after
	}
	for name, value := range fields {
		text = strings.ReplaceAll(text, "{{"+name+"}}", fmt.Sprint(value))
	}
	return text
}

// deployed returns the template of the settings file, and that of the further sections in the environment.
func deployed() (template, more string) {
	text, err := os.ReadFile("../deploy/coltsfootd.toml")
	So(err, ShouldBeNil)
	file, err := os.ReadFile("../deploy/system.toml")
	So(err, ShouldBeNil)
	var system struct {
		Roles map[string]struct {
			Env map[string]string `toml:"env"`
		} `toml:"roles"`
	}
	So(toml.Unmarshal(file, &system), ShouldBeNil)
	return string(text), system.Roles["gateway"].Env[MoreVariable]
}

// TestTemplate guards against a template that gives invalid settings, and against duties in deployments without their fields.
func TestTemplate(t *testing.T) {
	site := func(more map[string]any) map[string]any {
		fields := map[string]any{
			"node": "front-a-1", "zone": "a", "limits.memory_mb": 134, "limits.cpu_share": 0.4, "limits.cores": 1, "seeds": []string{"127.0.0.1:1", "127.0.0.1:2"},
			"listen.front": "127.0.0.1:3", "listen.ready": "127.0.0.1:4", "listen.control": "127.0.0.1:1", "ip_address": "127.0.0.1", "platform.address": "127.0.0.1:5",
			"bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_slack": 56, "bounds.cold_overage": 1.5, "bounds.cold_slack": 5, "bounds.grace_s": 8,
		}
		for name, value := range more {
			fields[name] = value
		}
		return fields
	}
	cases := map[string]struct {
		fields map[string]any
		duties Duties
	}{
		"no duties": {site(nil), GatewayDefaults().Duties},
		"duties": {site(map[string]any{
			"cloud.address": "127.0.0.1:6", "cloud.duties": []string{"usage_reporting", "scaling"}, "cloud.duty_per_s": 40,
			"bounds.lease_ms": 4000, "bounds.report_window_s": 6, "bounds.usage_lateness_s": 12,
		}), Duties{Address: "127.0.0.1:6", Names: []string{UsageReporting, Scaling}, CallsPerSecond: 40, LeaseMillis: 4000, WindowSeconds: 6, LatenessSeconds: 12}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			file := filepath.Join(t.TempDir(), "settings.toml")
			template, more := deployed()
			text := fill(template, test.fields)
			So(text, ShouldNotContainSubstring, "{{")
			So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
			t.Setenv(MoreVariable, fill(more, test.fields))
			So(os.Getenv(MoreVariable), ShouldNotContainSubstring, "{{")
			read, err := ReadGateway(file)
			So(err, ShouldBeNil)
			So(read.Duties, ShouldResemble, test.duties)
		})
	}
	invalid := map[string]struct{ section, place string }{
		"unknown duty":             {"names = [\"sweeping\"]\naddress = \"127.0.0.1:6\"", "f:29: duties.names"},
		"duty without an address":  {"names = [\"scaling\"]", "f:28: duties.address"},
		"lease below a second":     {"lease-ms = 999", "f:29: duties.lease-ms"},
		"calls at no rate":         {"calls-per-second = 0", "f:29: duties.calls-per-second"},
		"windows without a length": {"window-seconds = 0", "f:29: duties.window-seconds"},
	}
	for name, test := range invalid {
		Convey(name, t, func() {
			template, _ := deployed()
			_, err := ParseGateway("f", strings.TrimSpace(fill(template, site(nil)))+"\n[duties]\n"+test.section+"\n")
			So(places(err), ShouldResemble, []string{test.place})
		})
	}
}
