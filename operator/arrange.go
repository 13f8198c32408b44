package operator

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/language"
)

// summedColumns holds the columns of each subject whose values are added up over instances.
var summedColumns = map[coltsfootlink.Subject][]string{
	coltsfootlink.WaitingSubject: {"waiting"},
	coltsfootlink.ServedSubject:  {"answers", "service"},
}

// Arrange filters, groups and sorts the rows of all instances as a query asks for, and removes duplicate rows.
func Arrange(query language.Show, table coltsfootlink.Table) (coltsfootlink.Table, error) {
	table, err := filter(table, query)
	if err != nil {
		return table, err
	}
	if query.ByTeam && table.Column("team") >= 0 {
		table = selectColumns(table, append([]string{"team"}, summedColumns[query.Subject]...))
	}
	table = group(table, summedColumns[query.Subject])
	slices.SortFunc(table.Rows, func(left, right []string) int { return slices.Compare(left, right) })
	if query.Subject == coltsfootlink.TimelineSubject {
		table = sortByStamp(table)
	}
	table.Rows = slices.CompactFunc(table.Rows, func(left, right []string) bool { return slices.Equal(left, right) })
	return table, nil
}

// filter keeps the rows that match the query's pool and its where clause.
func filter(table coltsfootlink.Table, query language.Show) (coltsfootlink.Table, error) {
	conditions := map[string]string{}
	if query.Column != "" {
		conditions[query.Column] = query.Value
	}
	if query.Pool != "" {
		conditions["pool"] = query.Pool
	}
	for column, value := range conditions {
		index := table.Column(column)
		if index < 0 && len(table.Columns) > 0 {
			return table, errors.Newf("column %q does not exist; the columns are %s", column, strings.Join(table.Columns, ", "))
		}
		table.Rows = slices.DeleteFunc(table.Rows, func(cells []string) bool { return cells[index] != value })
	}
	return table, nil
}

// selectColumns returns the table with the named columns only.
func selectColumns(table coltsfootlink.Table, names []string) coltsfootlink.Table {
	selected := coltsfootlink.Table{Columns: names}
	for _, cells := range table.Rows {
		row := make([]string, 0, len(names))
		for _, name := range names {
			row = append(row, cells[table.Column(name)])
		}
		selected.Rows = append(selected.Rows, row)
	}
	return selected
}

// group merges rows that differ in the summed columns only, and adds up these columns.
func group(table coltsfootlink.Table, summed []string) coltsfootlink.Table {
	if len(summed) == 0 {
		return table
	}
	grouped := coltsfootlink.Table{Columns: table.Columns}
	rowIndex := make(map[string]int)
	for _, cells := range table.Rows {
		key := groupKey(table, cells, summed)
		index, found := rowIndex[key]
		if !found {
			rowIndex[key] = len(grouped.Rows)
			grouped.Rows = append(grouped.Rows, slices.Clone(cells))
			continue
		}
		for _, name := range summed {
			column := table.Column(name)
			grouped.Rows[index][column] = add(grouped.Rows[index][column], cells[column])
		}
	}
	return grouped
}

// groupKey identifies the group of a row by its cells outside the summed columns.
func groupKey(table coltsfootlink.Table, cells, summed []string) string {
	var key []string
	for column, name := range table.Columns {
		if !slices.Contains(summed, name) {
			key = append(key, cells[column])
		}
	}
	return strings.Join(key, "\x00")
}

// add returns the sum of two cells, rounded to an integer. Parse errors are ignored, since tasks write these cells as
// numbers.
func add(left, right string) string {
	first, _ := strconv.ParseFloat(left, 64)
	second, _ := strconv.ParseFloat(right, 64)
	return strconv.FormatFloat(first+second, 'f', 0, 64)
}

// sortByStamp sorts timeline events by their hybrid logical clock stamps and removes the stamp column. Stamps are
// decimal numbers without leading zeros, so a longer one is later.
func sortByStamp(table coltsfootlink.Table) coltsfootlink.Table {
	stamp := table.Column("stamp")
	if stamp < 0 {
		return table
	}
	slices.SortStableFunc(table.Rows, func(left, right []string) int {
		return len(left[stamp]) - len(right[stamp]) + strings.Compare(left[stamp], right[stamp])
	})
	return selectColumns(table, []string{"time", "instance", "part", "event"})
}
