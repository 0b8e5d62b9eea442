// Package ics reads and writes maintenance windows and protected times as iCalendar (RFC 5545). A window is a VEVENT
// with properties of our own beside the standard ones; a protected time is a VEVENT of the category PROTECTED.
package ics

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/emersion/go-ical"

	"ravenpond/internal/decide/calendar"
)

// Properties beside the standard ones. Durations are as Go writes them.
const (
	propReach         = "X-RAVENPOND-REACH"
	propPlace         = "X-RAVENPOND-PLACE"
	propLead          = "X-RAVENPOND-LEAD"
	propTail          = "X-RAVENPOND-TAIL"
	propSlack         = "X-RAVENPOND-SLACK"
	propPriority      = "X-RAVENPOND-PRIORITY"
	propEnding        = "X-RAVENPOND-ENDING"
	categoryProtected = "PROTECTED"
	product           = "-//ravenpond//drains 1//EN"
	maxBytes          = 16 << 20
	maxEvents         = 100000
)

var (
	scopes  = []string{"node", "cell", "zone"}
	endings = []string{"release", "sweep", "hold"}
)

// Encode writes a calendar.
func Encode(out io.Writer, c *calendar.Calendar, stamp time.Time) error {
	cal := ical.NewCalendar()
	cal.Props.SetText(ical.PropVersion, "2.0")
	cal.Props.SetText(ical.PropProductID, product)
	event := func(id string, start time.Time, last time.Duration, rule string) *ical.Event {
		ev := ical.NewEvent()
		ev.Props.SetText(ical.PropUID, id)
		ev.Props.SetDateTime(ical.PropDateTimeStamp, stamp.UTC())
		ev.Props.SetDateTime(ical.PropDateTimeStart, start)
		ev.Props.Set(&ical.Prop{Name: ical.PropDuration, Value: formatDuration(last), Params: ical.Params{}})
		if rule != "" {
			ev.Props.Set(&ical.Prop{Name: ical.PropRecurrenceRule, Value: rule, Params: ical.Params{}})
		}
		cal.Children = append(cal.Children, ev.Component)
		return ev
	}
	for i := range c.Windows {
		w := &c.Windows[i]
		ev := event(w.ID, w.Start, w.Duration, w.Rule)
		ev.Props.SetText(ical.PropSummary, fmt.Sprintf("drain of %s %s", w.Scope, w.Target))
		ev.Props.SetText(propReach, scopes[w.Scope])
		ev.Props.SetText(propPlace, w.Target)
		ev.Props.SetText(propLead, w.Lead.String())
		ev.Props.SetText(propSlack, w.Slack.String())
		ev.Props.SetText(propPriority, strconv.Itoa(w.Priority))
		ev.Props.SetText(propEnding, endings[w.Ending])
		if !w.CreatedAt.IsZero() {
			ev.Props.SetDateTime(ical.PropCreated, w.CreatedAt.UTC())
		}
		for _, t := range w.Exceptions {
			p := ical.NewProp(ical.PropExceptionDates)
			p.SetDateTime(t)
			ev.Props.Add(p)
		}
	}
	for i := range c.Protected {
		p := &c.Protected[i]
		ev := event(p.ID, p.Start, p.Duration, p.Rule)
		ev.Props.SetText(ical.PropSummary, "protected: "+p.ID)
		ev.Props.SetText(ical.PropCategories, categoryProtected)
		ev.Props.SetText(propLead, p.Lead.String())
		ev.Props.SetText(propTail, p.Tail.String())
	}
	if len(cal.Children) == 0 { // the format wants one component at least
		return nil
	}
	return ical.NewEncoder(out).Encode(cal)
}

// formatDuration writes a duration as the format has it.
func formatDuration(d time.Duration) string { return fmt.Sprintf("PT%dS", int64(d/time.Second)) }

// Decode reads a calendar. All faults are in the error, with the event that they are in.
func Decode(in io.Reader) (*calendar.Calendar, error) {
	text, err := io.ReadAll(io.LimitReader(in, maxBytes+1))
	if err != nil {
		return nil, err
	}
	c := &calendar.Calendar{}
	if len(bytes.TrimSpace(text)) == 0 {
		return c, nil
	}
	if len(text) > maxBytes {
		return nil, fmt.Errorf("calendar over %d bytes", maxBytes)
	}
	cal, err := ical.NewDecoder(bytes.NewReader(text)).Decode()
	if err != nil {
		return nil, fmt.Errorf("calendar: %w", err)
	}
	events := cal.Events()
	if len(events) > maxEvents {
		return nil, fmt.Errorf("calendar of %d events, at most %d", len(events), maxEvents)
	}
	var faults []error
	for i := range events {
		r := eventReader{event: &events[i]}
		r.decode(c)
		if r.err != nil {
			id, _ := events[i].Props.Text(ical.PropUID)
			faults = append(faults, fmt.Errorf("event %d (%s): %w", i+1, id, r.err))
		}
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return c, c.Check()
}

// eventReader takes properties of an event and keeps the first fault.
type eventReader struct {
	event *ical.Event
	err   error
}

func (r *eventReader) fault(name string, err error) {
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("%s: %w", name, err)
	}
}

func (r *eventReader) text(name string) string {
	s, err := r.event.Props.Text(name)
	r.fault(name, err)
	return s
}

func (r *eventReader) duration(name string) time.Duration {
	s := r.text(name)
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	r.fault(name, err)
	return d
}

func (r *eventReader) enum(name string, values []string) int {
	s := r.text(name)
	for i, value := range values {
		if strings.EqualFold(s, value) {
			return i
		}
	}
	if s != "" {
		r.fault(name, fmt.Errorf("%q, one of %s is expected", s, strings.Join(values, ", ")))
	}
	return 0
}

func (r *eventReader) decode(c *calendar.Calendar) {
	id := r.text(ical.PropUID)
	start, err := r.event.DateTimeStart(time.UTC)
	r.fault(ical.PropDateTimeStart, err)
	last := r.eventDuration(start)
	rule := ""
	if p := r.event.Props.Get(ical.PropRecurrenceRule); p != nil {
		rule = p.Value
	}
	lead := r.duration(propLead)
	if strings.EqualFold(r.text(ical.PropCategories), categoryProtected) {
		c.Protected = append(c.Protected, calendar.ProtectedTime{
			ID: id, Start: start, Duration: last, Rule: rule, Lead: lead,
			Tail: r.duration(propTail),
		})
		return
	}
	w := calendar.Window{
		ID: id, Scope: calendar.Scope(r.enum(propReach, scopes)), Target: r.text(propPlace), Start: start,
		Duration: last, Rule: rule, Lead: lead, Slack: r.duration(propSlack), Ending: calendar.Ending(r.enum(propEnding, endings)),
	}
	if s := r.text(propPriority); s != "" {
		w.Priority, err = strconv.Atoi(s)
		r.fault(propPriority, err)
	}
	if r.event.Props.Get(ical.PropCreated) != nil {
		w.CreatedAt, err = r.event.Props.DateTime(ical.PropCreated, time.UTC)
		r.fault(ical.PropCreated, err)
	}
	for _, p := range r.event.Props.Values(ical.PropExceptionDates) {
		t, err := p.DateTime(start.Location())
		r.fault(ical.PropExceptionDates, err)
		w.Exceptions = append(w.Exceptions, t)
	}
	c.Windows = append(c.Windows, w)
}

// eventDuration is the event's length, by its duration or its end.
func (r *eventReader) eventDuration(start time.Time) time.Duration {
	if p := r.event.Props.Get(ical.PropDuration); p != nil {
		d, err := p.Duration()
		r.fault(ical.PropDuration, err)
		return d
	}
	end, err := r.event.DateTimeEnd(time.UTC)
	r.fault(ical.PropDateTimeEnd, err)
	return end.Sub(start)
}
