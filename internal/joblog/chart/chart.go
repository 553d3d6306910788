// Package chart draws timelines of jobs as pictures.
package chart

import (
	"cmp"
	"fmt"
	"image/color"
	"io"
	"math"
	"slices"
	"strconv"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/coltsfootlug/coltsfootlug/internal/joblog"
)

const (
	width       = 32 * vg.Centimeter
	height      = 16 * vg.Centimeter
	legendWidth = 6 * vg.Centimeter
	// maxLost is the number of causes with an area of their own. The others share one.
	maxLost = 8
)

// Formats are the formats in which Draw writes.
var Formats = []string{"png", "svg"}

// Draw writes a picture of a timeline: areas of the tasks or cores in each state, stacked,
// with marks where a term began or workers were lost. The format is one of Formats.
func Draw(w io.Writer, t joblog.Timeline, title, format string) error {
	if !slices.Contains(Formats, format) {
		return errors.NotValidf("format %q, want one of %v,", format, Formats)
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = fmt.Sprintf("seconds since %s", t.Begin.UTC().Format("2006-01-02 15:04:05 MST"))
	p.Y.Label.Text = map[joblog.Unit]string{joblog.InTasks: "tasks", joblog.InCores: "cores (an accelerator counts as 8)"}[t.Unit]
	p.Title.Padding = vg.Points(6)
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.TickerFunc(ticks), plot.TickerFunc(ticks)
	layers := stack(t)
	legend := plot.NewLegend()
	legend.Top, legend.Left = true, true
	legend.TextStyle.Font.Size = font.Points(10)
	legend.Padding = vg.Points(3)
	if err := addAreas(p, &legend, t, layers); err != nil {
		return errors.Trace(err)
	}
	if err := addMarks(p, &legend, t); err != nil {
		return errors.Trace(err)
	}
	return write(w, p, legend, format)
}

func write(w io.Writer, p *plot.Plot, legend plot.Legend, format string) error {
	canvas, err := draw.NewFormattedCanvas(width, height, format)
	if err != nil {
		return errors.Trace(err)
	}
	page := draw.New(canvas)
	p.Draw(draw.Crop(page, 0, -legendWidth, 0, 0))
	legend.Draw(draw.Crop(page, width-legendWidth+vg.Centimeter/2, 0, 0, -vg.Centimeter))
	_, err = canvas.WriteTo(w)
	return errors.Trace(err)
}

// ticks returns labelled ticks at multiples of 1, 2 or 5 times a power of ten, at most 13.
func ticks(low, high float64) []plot.Tick {
	const most = 12
	step := math.Pow10(int(math.Floor(math.Log10(max(high-low, 1e-6) / most))))
	for _, factor := range []float64{2, 2.5, 2} {
		if (high-low)/step > most {
			step *= factor
		}
	}
	var out []plot.Tick
	for i := math.Ceil(low / step); i*step <= high; i++ {
		out = append(out, plot.Tick{Value: i * step, Label: strconv.FormatFloat(i*step, 'g', 6, 64)})
	}
	return out
}

// layer is an area of the picture, from its lowest.
type layer struct {
	name   string
	color  color.Color
	values []float64
}

// fixed are the layers of states that are always apart, from the lowest.
var fixed = []struct {
	state joblog.State
	color color.RGBA
}{
	{joblog.Kept, rgb(0x4c9f70)}, {joblog.Open, rgb(0xa8d5ba)}, {joblog.Placed, rgb(0xf2e394)},
}

var waiting = []struct {
	state joblog.State
	color color.RGBA
}{
	{joblog.WaitingRoom, rgb(0xd3dae3)}, {joblog.WaitingRack, rgb(0xa3b4c8)}, {joblog.WaitingClaim, rgb(0x7a93b0)},
	{joblog.WaitingPause, rgb(0x54708f)}, {joblog.WaitingOwner, rgb(0x2c3e50)},
}

// lostColors are those of the causes that days often have. Others share the last ones.
var lostColors = map[joblog.Cause]color.RGBA{
	joblog.CauseCrashed: rgb(0xc0392b), joblog.CauseLease: rgb(0x7b241c), joblog.CauseLeft: rgb(0xa04000), joblog.CauseTaskFailed: rgb(0x6e2c00),
	joblog.CauseMember: rgb(0xd98880), joblog.CauseStartUnreachable: rgb(0xff5fa2), joblog.CauseStartUnknown: rgb(0xffa8cf),
	joblog.CausePreempted: rgb(0xe67e22), joblog.CauseReclaimed: rgb(0xf1c40f), joblog.CauseLagging: rgb(0xb7950b), joblog.CauseNoProgress: rgb(0x7d6608),
	joblog.CauseJobEnded: rgb(0x8e44ad), joblog.CauseOwner: rgb(0x17202a), joblog.CauseUnlisted: rgb(0xbb8fce), joblog.CauseDraining: rgb(0x45b39d), joblog.CauseNotStored: rgb(0x5d6d7e),
}

var (
	otherCauseColor = rgb(0xe8b4e8)
	restColor       = rgb(0x7f8c8d)
)

func rgb(hex uint32) color.RGBA {
	return color.RGBA{R: uint8(hex >> 16), G: uint8(hex >> 8), B: uint8(hex), A: 0xff}
}

// stack returns the layers that have any area, from the lowest: runs that are kept, those
// lost by cause, waits. The time before earlier steps are done is left out.
func stack(t joblog.Timeline) []layer {
	var out []layer
	for _, f := range fixed {
		out = append(out, layer{string(f.state), f.color, t.States[f.state]})
	}
	out = append(out, lostLayers(t)...)
	for _, f := range waiting {
		out = append(out, layer{string(f.state), f.color, t.States[f.state]})
	}
	return slices.DeleteFunc(out, func(l layer) bool { return sum(l.values) == 0 })
}

// lostLayers returns the layers of lost runs, the greatest first; those behind maxLost are
// added up.
func lostLayers(t joblog.Timeline) []layer {
	var out []layer
	for _, c := range joblog.Causes {
		values := t.States[joblog.LostBy(c)]
		if values == nil {
			continue
		}
		shade, ok := lostColors[c]
		if !ok {
			shade = otherCauseColor
		}
		out = append(out, layer{string(joblog.LostBy(c)), shade, values})
	}
	slices.SortStableFunc(out, func(a, b layer) int { return cmp.Compare(sum(b.values), sum(a.values)) })
	if len(out) <= maxLost {
		return out
	}
	rest := layer{"lost-otherwise", restColor, make([]float64, len(out[0].values))}
	for _, l := range out[maxLost:] {
		for i, v := range l.values {
			rest.values[i] += v
		}
	}
	return append(out[:maxLost:maxLost], rest)
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// addAreas adds the layers, each as wide as its steps, and their names from the top.
func addAreas(p *plot.Plot, legend *plot.Legend, t joblog.Timeline, layers []layer) error {
	step := float64(t.StepMS) / 1000
	var below []float64
	areas := make([]*plotter.Polygon, len(layers))
	for i, l := range layers {
		if below == nil {
			below = make([]float64, len(l.values))
		}
		area, err := plotter.NewPolygon(outline(below, l.values, step))
		if err != nil {
			return errors.Trace(err)
		}
		area.Color, area.LineStyle.Width = l.color, 0
		p.Add(area)
		areas[i] = area
	}
	for i := len(layers) - 1; i >= 0; i-- {
		legend.Add(layers[i].name, areas[i])
	}
	return nil
}

// outline returns the outline of a layer and adds its values to those below it.
func outline(below, values []float64, step float64) plotter.XYs {
	n := len(values)
	out := make(plotter.XYs, 4*n)
	for i, v := range values {
		left, right := float64(i)*step, float64(i+1)*step
		out[2*i], out[2*i+1] = plotter.XY{X: left, Y: below[i] + v}, plotter.XY{X: right, Y: below[i] + v}
		out[4*n-1-2*i], out[4*n-2-2*i] = plotter.XY{X: left, Y: below[i]}, plotter.XY{X: right, Y: below[i]}
		below[i] += v
	}
	return out
}

// addMarks adds a line over the whole height for each mark.
func addMarks(p *plot.Plot, legend *plot.Legend, t joblog.Timeline) error {
	top := p.Y.Max
	named := map[string]bool{}
	for _, m := range t.Marks {
		at := m.At.Sub(t.Begin).Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}})
		if err != nil {
			return errors.Trace(err)
		}
		name := "term began"
		line.LineStyle = draw.LineStyle{Color: color.Black, Width: vg.Points(1.5)}
		if m.Token == 0 {
			name = "workers lost"
			line.LineStyle = draw.LineStyle{Color: rgb(0xc0392b), Width: vg.Points(0.5 + min(2, float64(m.Workers)/10)), Dashes: []vg.Length{vg.Points(3), vg.Points(3)}}
		}
		p.Add(line)
		if !named[name] {
			named[name] = true
			legend.Add(name, line)
		}
	}
	return nil
}
