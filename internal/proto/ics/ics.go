// Package ics encodes and decodes maintenance windows and protected times as iCalendar data (RFC 5545). A window is a VEVENT with the standard
// properties and properties specific to this program; a protected time is a VEVENT of the category PROTECTED. The functions keep no state and
// may be called concurrently.
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

// Names and values specific to this program. The values of its properties that are durations have the format of time.ParseDuration.
const (
	propScope    = "X-RAVENPOND-REACH"
	propTarget   = "X-RAVENPOND-PLACE"
	propLead     = "X-RAVENPOND-LEAD"
	propTail     = "X-RAVENPOND-TAIL"
	propSlack    = "X-RAVENPOND-SLACK"
	propPriority = "X-RAVENPOND-PRIORITY"
	propEnding   = "X-RAVENPOND-ENDING"

	categoryProtected = "PROTECTED"
	productID         = "-//ravenpond//drains 1//EN"
)

// Bounds of an encoded calendar.
const (
	maxBytes  = 16 << 20
	maxEvents = 100000
)

// Property values, indexed by the constants of package calendar.
var (
	scopes  = []string{calendar.OneNode: "node", calendar.Cell: "cell", calendar.Zone: "zone"}
	endings = []string{calendar.Release: "release", calendar.Sweep: "sweep", calendar.Hold: "hold"}
)

// Encode writes a calendar. stamp is the time of its creation. Nothing is written for a calendar without events, which the format does not
// allow.
func Encode(out io.Writer, c *calendar.Calendar, stamp time.Time) error {
	cal := ical.NewCalendar()
	cal.Props.SetText(ical.PropVersion, "2.0")
	cal.Props.SetText(ical.PropProductID, productID)
	for i := range c.Windows {
		cal.Children = append(cal.Children, encodeWindow(&c.Windows[i], stamp).Component)
	}
	for i := range c.Protected {
		cal.Children = append(cal.Children, encodeProtected(&c.Protected[i], stamp).Component)
	}
	if len(cal.Children) == 0 {
		return nil
	}
	return ical.NewEncoder(out).Encode(cal)
}

func encodeWindow(w *calendar.Window, stamp time.Time) *ical.Event {
	event := newEvent(w.ID, stamp)
	setTimes(event, w.Start, w.Duration, w.Rule)
	event.Props.SetText(ical.PropSummary, fmt.Sprintf("drain of %s %s", w.Scope, w.Target))
	event.Props.SetText(propScope, scopes[w.Scope])
	event.Props.SetText(propTarget, w.Target)
	event.Props.SetText(propLead, w.Lead.String())
	event.Props.SetText(propSlack, w.Slack.String())
	event.Props.SetText(propPriority, strconv.Itoa(w.Priority))
	event.Props.SetText(propEnding, endings[w.Ending])
	if !w.CreatedAt.IsZero() {
		event.Props.SetDateTime(ical.PropCreated, w.CreatedAt.UTC())
	}
	for _, t := range w.Exceptions {
		p := ical.NewProp(ical.PropExceptionDates)
		p.SetDateTime(t)
		event.Props.Add(p)
	}
	return event
}

func encodeProtected(p *calendar.ProtectedTime, stamp time.Time) *ical.Event {
	event := newEvent(p.ID, stamp)
	setTimes(event, p.Start, p.Duration, p.Rule)
	event.Props.SetText(ical.PropSummary, "protected: "+p.ID)
	event.Props.SetText(ical.PropCategories, categoryProtected)
	event.Props.SetText(propLead, p.Lead.String())
	event.Props.SetText(propTail, p.Tail.String())
	return event
}

func newEvent(id string, stamp time.Time) *ical.Event {
	event := ical.NewEvent()
	event.Props.SetText(ical.PropUID, id)
	event.Props.SetDateTime(ical.PropDateTimeStamp, stamp.UTC())
	return event
}

func setTimes(event *ical.Event, start time.Time, duration time.Duration, rule string) {
	event.Props.SetDateTime(ical.PropDateTimeStart, start)
	event.Props.Set(&ical.Prop{Name: ical.PropDuration, Value: formatDuration(duration), Params: ical.Params{}})
	if rule != "" {
		event.Props.Set(&ical.Prop{Name: ical.PropRecurrenceRule, Value: rule, Params: ical.Params{}})
	}
}

// formatDuration returns a duration in the format of RFC 5545, in whole seconds.
func formatDuration(d time.Duration) string { return fmt.Sprintf("PT%dS", int64(d/time.Second)) }

// Decode reads and validates a calendar. The error joins all errors that were found, at most one for each event that cannot be decoded.
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
		return nil, fmt.Errorf("calendar is larger than %d bytes", maxBytes)
	}
	cal, err := ical.NewDecoder(bytes.NewReader(text)).Decode()
	if err != nil {
		return nil, fmt.Errorf("calendar is not valid iCalendar data: %w", err)
	}
	events := cal.Events()
	if len(events) > maxEvents {
		return nil, fmt.Errorf("calendar has %d events, maximum is %d", len(events), maxEvents)
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

// eventReader reads the properties of an event and records the first error.
type eventReader struct {
	event *ical.Event
	err   error
}

// fail records an error of a property, unless one is recorded already.
func (r *eventReader) fail(name string, err error) {
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("%s: %w", name, err)
	}
}

// decode decodes the event and adds it to a calendar.
func (r *eventReader) decode(c *calendar.Calendar) {
	start, err := r.event.DateTimeStart(time.UTC)
	id := r.text(ical.PropUID)
	r.fail(ical.PropDateTimeStart, err)
	duration := r.eventDuration(start)
	rule := ""
	if p := r.event.Props.Get(ical.PropRecurrenceRule); p != nil {
		rule = p.Value
	}
	lead := r.duration(propLead)
	if strings.EqualFold(r.text(ical.PropCategories), categoryProtected) {
		c.Protected = append(c.Protected, calendar.ProtectedTime{
			ID: id, Start: start, Duration: duration, Rule: rule, Lead: lead, Tail: r.duration(propTail),
		})
		return
	}
	w := calendar.Window{
		ID: id, Scope: calendar.Scope(r.enum(propScope, scopes)), Target: r.text(propTarget), Start: start, Duration: duration, Rule: rule,
		Lead: lead, Slack: r.duration(propSlack), Ending: calendar.Ending(r.enum(propEnding, endings)),
	}
	r.decodeOptional(&w)
	c.Windows = append(c.Windows, w)
}

// decodeOptional reads the optional properties of a window.
func (r *eventReader) decodeOptional(w *calendar.Window) {
	var err error
	if s := r.text(propPriority); s != "" {
		w.Priority, err = strconv.Atoi(s)
		r.fail(propPriority, err)
	}
	if r.event.Props.Get(ical.PropCreated) != nil {
		w.CreatedAt, err = r.event.Props.DateTime(ical.PropCreated, time.UTC)
		r.fail(ical.PropCreated, err)
	}
	for _, p := range r.event.Props.Values(ical.PropExceptionDates) {
		t, err := p.DateTime(w.Start.Location())
		r.fail(ical.PropExceptionDates, err)
		w.Exceptions = append(w.Exceptions, t)
	}
}

// text returns the value of a text property, or an empty string if the event lacks it.
func (r *eventReader) text(name string) string {
	s, err := r.event.Props.Text(name)
	r.fail(name, err)
	return s
}

// duration returns the value of a duration property of this program, or 0 if the event lacks it.
func (r *eventReader) duration(name string) time.Duration {
	s := r.text(name)
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	r.fail(name, err)
	return d
}

// enum returns the index of a property's value in values, or 0 if the event lacks the property.
func (r *eventReader) enum(name string, values []string) int {
	s := r.text(name)
	for i, value := range values {
		if strings.EqualFold(s, value) {
			return i
		}
	}
	if s != "" {
		r.fail(name, fmt.Errorf("invalid value %q, must be one of %s", s, strings.Join(values, ", ")))
	}
	return 0
}

// eventDuration returns the event's duration, from DURATION if the event has it, else from DTEND.
func (r *eventReader) eventDuration(start time.Time) time.Duration {
	if p := r.event.Props.Get(ical.PropDuration); p != nil {
		d, err := p.Duration()
		r.fail(ical.PropDuration, err)
		return d
	}
	end, err := r.event.DateTimeEnd(time.UTC)
	r.fail(ical.PropDateTimeEnd, err)
	return end.Sub(start)
}
