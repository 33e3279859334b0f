package relay

import "time"

// workTime measures how the time to the first byte of a service's answers depends on the prompt tokens that the engine has to
// prefill for them. It answers services whose prompts differ much in length: without it, an engine that happened to get a long
// prompt from this VM counts as slow, and sessions leave it though their prefixes are cached there.
type workTime struct {
	// weight is the number of answers, up to workMemory; the others are smoothed means.
	weight                        float64
	tokens, seconds               float64
	tokensVariance, tokensSeconds float64
}

const (
	// workMemory is the number of answers over which workTime measures, and minWorkAnswers the number from which it counts.
	workMemory     = 200
	minWorkAnswers = 10
	// minWorkShare is the least expected time of an answer as a share of the mean.
	minWorkShare = 0.2
)

// normalise returns the time that an answer would have taken with a prompt of mean length, and adds the answer to the measurement.
func (w *workTime) normalise(first time.Duration, tokens int) time.Duration {
	out := first
	if expected := w.expected(float64(tokens)); expected > 0 && w.weight >= minWorkAnswers {
		out = time.Duration(float64(first) * (w.seconds / expected))
	}
	w.add(float64(tokens), first.Seconds())
	return out
}

// expected returns the expected time of an answer in seconds.
func (w *workTime) expected(tokens float64) float64 {
	if w.tokensVariance <= 0 || w.tokensSeconds <= 0 {
		return w.seconds
	}
	return max(w.seconds+w.tokensSeconds/w.tokensVariance*(tokens-w.tokens), minWorkShare*w.seconds)
}

func (w *workTime) add(tokens, seconds float64) {
	w.weight = min(w.weight+1, workMemory)
	share := 1 / w.weight
	dTokens, dSeconds := tokens-w.tokens, seconds-w.seconds
	w.tokens += share * dTokens
	w.seconds += share * dSeconds
	w.tokensVariance = (1 - share) * (w.tokensVariance + share*dTokens*dTokens)
	w.tokensSeconds = (1 - share) * (w.tokensSeconds + share*dTokens*dSeconds)
}

// recordEngineAnswer is recordAnswer for an engine that had to prefill tokens of a prompt before it answered.
func (h *health) recordEngineAnswer(service, id string, first time.Duration, tokens int, now time.Time) {
	w := h.workTimes[service]
	if w == nil {
		w = &workTime{}
		h.workTimes[service] = w
	}
	h.recordAnswer(service, id, w.normalise(first, tokens), now)
}
