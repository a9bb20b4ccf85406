package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/standin"
)

// Parameters of the demo.
const (
	demoStages    = 3
	demoCopies    = 2
	demoPlain     = 3
	demoStepTime  = 2 * time.Millisecond
	demoTokens    = 120
	demoKillToken = 40
	demoTimeout   = 25 * time.Second
)

// Run runs the demo and writes its results to out. It returns an error if a
// response differs from that of a correct pipeline.
func Run(ctx context.Context, out io.Writer, logs io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	cluster, err := Start(ctx, ClusterOptions{
		Stages: demoStages, Replicas: demoCopies, PlainServers: demoPlain, StepTime: demoStepTime, Log: logs,
	})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	fmt.Fprintf(out, "started 1 entry, %d engines in %d stages of %d layers, %d plain servers\n",
		demoStages*demoCopies, demoStages, Layers/demoStages, demoPlain)
	client := &Client{URL: cluster.URL, Key: Key}
	steps := []func(context.Context, io.Writer, *Cluster, *Client) error{showPrompt, showBooking, showStageLoss}
	for _, step := range steps {
		if err := step(ctx, out, cluster, client); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "all answers were whole and exact")
	return nil
}

func showPrompt(ctx context.Context, out io.Writer, _ *Cluster, client *Client) error {
	answer, err := complete(ctx, client, "Explain the delay on press line 4.", nil)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "prompt: %d tokens through %d stages, first token after %s, longest gap %s\n",
		answer.Tokens, demoStages, answer.TimeToFirstToken.Round(time.Microsecond), answer.LongestGap.Round(time.Microsecond))
	fmt.Fprintf(out, "  begins with: %.60s\n", strings.TrimSpace(answer.Text))
	return nil
}

func showBooking(ctx context.Context, out io.Writer, cluster *Cluster, client *Client) error {
	path := "/" + Service + "/bookings"
	status, body, err := client.Call(ctx, http.MethodPost, path, map[string]string{"reference": "shift-7"})
	if err != nil {
		return err
	}
	executions := 0
	for _, n := range cluster.Nodes {
		if n.Plain != nil {
			executions += n.Plain.Executions("shift-7")
		}
	}
	fmt.Fprintf(out, "booking: status %d, ran %d time(s): %s\n", status, executions, strings.TrimSpace(body))
	if status != http.StatusCreated || executions != 1 {
		return errors.Errorf("booking returned status %d and was executed %d times", status, executions)
	}
	return nil
}

func showStageLoss(ctx context.Context, out io.Writer, cluster *Cluster, client *Client) error {
	victim := ""
	kill := func(n int) {
		if n == demoKillToken {
			victim = cluster.ActiveEngine(1)
			cluster.Node(victim).Kill()
		}
	}
	answer, err := complete(ctx, client, "Summarize the billet requirements of tender 12.", kill)
	if err != nil {
		return err
	}
	recoveries := cluster.Entry.Recoveries()
	fmt.Fprintf(out, "stage loss: %s ended after token %d; %d recovery; the answer still has %d tokens, longest gap %s\n",
		victim, demoKillToken, recoveries, answer.Tokens, answer.LongestGap.Round(time.Microsecond))
	if recoveries == 0 {
		return errors.New("the killed engine was not part of the chain")
	}
	return nil
}

// ActiveEngine returns the ID of the last engine of a stage that has an attempt
// in progress, or of the stage's first engine if none has.
func (c *Cluster) ActiveEngine(stage int) string {
	prefix := fmt.Sprintf("engine-%d", stage)
	best := ""
	for _, n := range c.Nodes {
		if strings.HasPrefix(n.ID, prefix) && (best == "" || n.Sidecar.InProgress() > 0) {
			best = n.ID
		}
	}
	return best
}

// complete requests a completion and returns an error if it differs from the
// expected one.
func complete(ctx context.Context, client *Client, prompt string, onToken func(int)) (*Completion, error) {
	answer, err := client.Complete(ctx, Model, prompt, demoTokens, onToken)
	if err != nil {
		return nil, err
	}
	texts, finish := standin.Generate(Layers, prompt, demoTokens)
	if !answer.Done || answer.Text != strings.Join(texts, "") || answer.FinishReason != finish {
		return nil, errors.Errorf("completion of %q differs from the expected one: whole=%t tokens=%d finish=%q",
			prompt, answer.Done, answer.Tokens, answer.FinishReason)
	}
	return answer, nil
}
