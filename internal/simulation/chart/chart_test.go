package chart

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSplitAtGapsReturnsContiguousSegments(t *testing.T) {
	nan := math.NaN()
	got := splitAtGaps(Line{X: Indices(6), Y: []float64{1, 2, nan, 4, nan, nan}})
	if len(got) != 2 || len(got[0]) != 2 || len(got[1]) != 1 || got[1][0].X != 3 {
		t.Errorf("%v", got)
	}
}

func TestSmoothIgnoresGaps(t *testing.T) {
	nan := math.NaN()
	if s := Smooth([]float64{1, nan, 4, nan, nan, nan}, 1); s[0] != 1 || s[1] != 2.5 || s[2] != 4 || !math.IsNaN(s[4]) {
		t.Errorf("%v", s)
	}
}

func TestSaveWritesLineNames(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.svg")
	first := Line{"first", Indices(3), []float64{1, math.NaN(), 3}}
	if err := Save(path, "title", "x", "y", first, Line{"second", nil, nil}); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(path); err != nil || !strings.Contains(string(text), "first") {
		t.Errorf("%v: %.100s", err, text)
	}
}
