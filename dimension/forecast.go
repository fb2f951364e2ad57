package dimension

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Forecast is the expected busy hour traffic of a day, with the 90% prediction interval from Low to High.
type Forecast struct {
	Mean, Low, High float64 // erlangs
	Growth          float64 // per day, as a share of the traffic
}

// Least data for a forecast.
const (
	minForecastDays         = 4
	minSquaredDayDeviations = 2 // of three dates: -1, 0, 1
)

// upperQuantile is the probability of the upper end of the prediction interval.
const upperQuantile = 0.95

// ErrTooFewDays is returned when there are too few days for a forecast.
var ErrTooFewDays = errors.New("dimension: a forecast needs at least four days, on at least three dates")

// Trend forecasts the busy hour traffic of the day target from that of measured days, by linear regression on the logarithms
// of traffic (the same growth rate each day). The prediction interval follows Student's t distribution and assumes that the
// trend does not change.
func Trend(days, erlangs []float64, target float64) (Forecast, error) {
	if len(days) != len(erlangs) || len(days) < minForecastDays {
		return Forecast{}, ErrTooFewDays
	}
	logs := make([]float64, len(erlangs))
	for i, value := range erlangs {
		if !(value > 0) || math.IsInf(value, 0) || math.IsNaN(days[i]) || math.IsInf(days[i], 0) {
			return Forecast{}, fmt.Errorf("dimension: day %v: invalid traffic of %v erlangs", days[i], value)
		}
		logs[i] = math.Log(value)
	}
	n, meanDay := float64(len(days)), stat.Mean(days, nil)
	squaredDeviations := 0.0
	for _, day := range days {
		squaredDeviations += (day - meanDay) * (day - meanDay)
	}
	if squaredDeviations < minSquaredDayDeviations {
		return Forecast{}, ErrTooFewDays
	}
	intercept, slope := stat.LinearRegression(days, logs, nil, false)
	squaredResiduals := 0.0
	for i, day := range days {
		residual := logs[i] - intercept - slope*day
		squaredResiduals += residual * residual
	}
	quantile := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 2}.Quantile(upperQuantile)
	halfWidth := quantile * math.Sqrt(squaredResiduals/(n-2)*(1+1/n+(target-meanDay)*(target-meanDay)/squaredDeviations))
	predicted := intercept + slope*target
	return Forecast{Mean: math.Exp(predicted), Low: math.Exp(predicted - halfWidth), High: math.Exp(predicted + halfWidth), Growth: math.Expm1(slope)}, nil
}
