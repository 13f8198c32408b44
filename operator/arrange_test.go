package operator

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/language"
)

func TestArrange(t *testing.T) {
	waiting := coltsfootlink.Table{Columns: []string{"pool", "team", "waiting"}, Rows: [][]string{
		{"p", "x", "2"}, {"q", "x", "1"}, {"p", "y", "5"}, {"p", "x", "3"},
	}}
	events := coltsfootlink.Table{Columns: []string{"time", "stamp", "instance", "part", "event"}, Rows: [][]string{
		{"t2", "20", "b", "owner", "later"}, {"t1", "9", "a", "owner", "first"},
	}}
	cases := map[string]struct {
		query language.Show
		table coltsfootlink.Table
		rows  [][]string
	}{
		"rows of several instances are added up": {language.Show{Subject: coltsfootlink.WaitingSubject}, waiting, [][]string{{"p", "x", "5"}, {"p", "y", "5"}, {"q", "x", "1"}}},
		"grouped by team":                        {language.Show{Subject: coltsfootlink.WaitingSubject, ByTeam: true}, waiting, [][]string{{"x", "6"}, {"y", "5"}}},
		"grouped by team in one pool":            {language.Show{Subject: coltsfootlink.WaitingSubject, ByTeam: true, Pool: "p"}, waiting, [][]string{{"x", "5"}, {"y", "5"}}},
		"filtered by a column":                   {language.Show{Subject: coltsfootlink.WaitingSubject, Column: "team", Value: "y"}, waiting, [][]string{{"p", "y", "5"}}},
		"events sorted by stamp":                 {language.Show{Subject: coltsfootlink.TimelineSubject}, events, [][]string{{"t1", "a", "owner", "first"}, {"t2", "b", "owner", "later"}}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			table := test.table
			table.Rows = append([][]string(nil), table.Rows...)
			arranged, err := Arrange(test.query, table)
			So(err, ShouldBeNil)
			So(arranged.Rows, ShouldResemble, test.rows)
		})
	}
	Convey("the error for an unknown column lists the existing columns", t, func() {
		_, err := Arrange(language.Show{Subject: coltsfootlink.WaitingSubject, Column: "colour"}, waiting)
		So(err.Error(), ShouldContainSubstring, "pool, team, waiting")
	})
}
