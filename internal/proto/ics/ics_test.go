package ics

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"ravenpond/internal/decide/calendar"
)

func TestRoundTrip(t *testing.T) {
	zone, err := time.LoadLocation("Europe/Berlin")
	if err != nil {
		t.Skip("this machine has no time zone database")
	}
	start := time.Date(2026, 3, 28, 2, 30, 0, 0, zone)
	in := calendar.Calendar{Windows: []calendar.Window{
		{
			ID: "weekly", Scope: calendar.Zone, Target: "quay", Start: start, Duration: 2 * time.Hour, Rule: "FREQ=WEEKLY;COUNT=5",
			Lead: 10 * time.Minute, Slack: 3 * time.Hour, Priority: 4, CreatedAt: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
			Ending: calendar.Hold, Exceptions: []time.Time{start.AddDate(0, 0, 7)},
		},
		{ID: "once", Target: "7", Start: time.Date(2026, 4, 1, 0, 0, 0, 0, time.UTC), Duration: time.Hour},
	}, Protected: []calendar.ProtectedTime{{
		ID: "contest, \"final\"", Start: start, Duration: time.Hour, Lead: time.Hour, Tail: time.Minute,
		Rule: "FREQ=YEARLY",
	}}}
	var b bytes.Buffer
	if err := Encode(&b, &in, start); err != nil {
		t.Fatal(err)
	}
	out, err := Decode(&b)
	if err != nil {
		t.Fatal(err)
	}
	if len(out.Windows) != 2 || len(out.Protected) != 1 {
		t.Fatalf("decoded %+v, want 2 windows and 1 protected time", out)
	}
	for i := range in.Windows {
		expectSameWindow(t, in.Windows[i], out.Windows[i])
	}
	if want, got := in.Protected[0], out.Protected[0]; want.ID != got.ID || want.Lead != got.Lead || want.Tail != got.Tail || want.Rule != got.Rule {
		t.Errorf("decoded protected time differs\nwant %+v\ngot  %+v", want, got)
	}
}

// expectSameWindow checks that two windows are the same. Times are the same if they are the same instant in a time zone of the same name.
func expectSameWindow(t *testing.T, want, got calendar.Window) {
	t.Helper()
	if !want.Start.Equal(got.Start) || want.Start.Location().String() != got.Start.Location().String() || len(want.Exceptions) != len(got.Exceptions) ||
		len(want.Exceptions) > 0 && !want.Exceptions[0].Equal(got.Exceptions[0]) || !want.CreatedAt.Equal(got.CreatedAt) {
		t.Errorf("times of the decoded window differ\nwant %+v\ngot  %+v", want, got)
	}
	want.Start, got.Start, want.Exceptions, got.Exceptions, want.CreatedAt, got.CreatedAt = time.Time{}, time.Time{}, nil, nil, time.Time{}, time.Time{}
	if !reflect.DeepEqual(want, got) {
		t.Errorf("decoded window differs\nwant %+v\ngot  %+v", want, got)
	}
}

func TestInvalidCalendars(t *testing.T) {
	event := "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:x\r\nBEGIN:VEVENT\r\nUID:a\r\nDTSTAMP:20260101T000000Z\r\nDTSTART:20260301T100000Z\r\n" +
		"DURATION:PT1H\r\nX-RAVENPOND-PLACE:7\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n"
	if c, err := Decode(strings.NewReader(event)); err != nil || len(c.Windows) != 1 || c.Windows[0].Duration != time.Hour {
		t.Fatalf("decoded %+v with error %v, want one window of an hour", c, err)
	}
	if c, err := Decode(strings.NewReader(" \n")); err != nil || len(c.Windows) != 0 {
		t.Errorf("blank input: decoded %+v with error %v, want no window and no error", c, err)
	}
	for _, c := range []struct{ name, old, new, fault string }{
		{"not a calendar", "BEGIN:VCALENDAR", "HELLO", "calendar is not valid"},
		{"no duration", "DURATION:PT1H\r\n", "", "invalid length 0s, lead "},
		{"invalid duration", "PT1H", "an hour", "DURATION"},
		{"unknown time zone", "DTSTART:20260301T100000Z", "DTSTART;TZID=Nowhere/Here:20260301T100000", "Nowhere/Here"},
		{"unknown scope", "X-RAVENPOND-PLACE:7", "X-RAVENPOND-PLACE:7\r\nX-RAVENPOND-REACH:town", "one of node, cell, zone"},
		{"invalid slack", "X-RAVENPOND-PLACE:7", "X-RAVENPOND-PLACE:7\r\nX-RAVENPOND-SLACK:some", "X-RAVENPOND-SLACK"},
		{"no target", "X-RAVENPOND-PLACE:7\r\n", "", "no place"},
		{"invalid recurrence rule", "DURATION", "RRULE:FREQ=NEVER\r\nDURATION", "rule"},
		{"truncated", "END:VEVENT\r\nEND:VCALENDAR\r\n", "", "calendar is not valid"},
	} {
		if _, err := Decode(strings.NewReader(strings.Replace(event, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.fault) {
			t.Errorf("%s: got error %v, want one that contains %q", c.name, err, c.fault)
		}
	}
}
