package main

import (
	"fmt"
	"strings"
)

// point is one measurement in a plot.
type point struct{ x, y float64 }

// series is the line of one panel of a plot.
type series struct {
	title  string
	points []point
}

// Sizes of a plot's panel in pixels.
const (
	panelWidth  = 360
	panelHeight = 220
	panelMargin = 40
)

// plotSVG returns an SVG image with one panel for each series, side by side.
func plotSVG(panels []series) string {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", panelWidth*len(panels), panelHeight)
	for i, s := range panels {
		fmt.Fprintf(&b, `<g transform="translate(%d 0)">`+"\n", i*panelWidth)
		s.draw(&b)
		b.WriteString("</g>\n")
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func (s series) draw(b *strings.Builder) {
	var maxX, maxY float64
	for _, p := range s.points {
		maxX, maxY = max(maxX, p.x), max(maxY, p.y)
	}
	bottom, right := panelHeight-panelMargin, panelWidth-panelMargin
	fmt.Fprintf(b, `<text x="%d" y="20">%s</text>`+"\n", panelMargin, s.title)
	fmt.Fprintf(b, `<path d="M%d %dV%dH%d" fill="none" stroke="black"/>`+"\n", panelMargin, panelMargin, bottom, right)
	var coordinates []string
	for _, p := range s.points {
		x := panelMargin + p.x/maxX*float64(right-panelMargin)
		y := float64(bottom) - p.y/maxY*float64(bottom-panelMargin)
		coordinates = append(coordinates, fmt.Sprintf("%.1f,%.1f", x, y))
		fmt.Fprintf(b, `<circle cx="%.1f" cy="%.1f" r="3"/><text x="%.1f" y="%.1f" text-anchor="end">%.4g</text><text x="%.1f" y="%d" text-anchor="middle">%.4g</text>`+"\n", x, y, x-5, y-5, p.y, x, bottom+15, p.x)
	}
	fmt.Fprintf(b, `<polyline points="%s" fill="none" stroke="steelblue"/>`+"\n", strings.Join(coordinates, " "))
}
