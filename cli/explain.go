package cli

import (
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chivewind/chivewind/internal/explain"
)

func (a *app) addExplain(k *kingpin.Application) {
	cmd := k.Command("explain", "Show the log lines of one request, from standard input, and say why it ended as it did.")
	request := cmd.Arg("request", "The caller's attempt id.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error { return a.explain(*request) })
}

func (a *app) explain(request string) error {
	report, err := explain.Find(os.Stdin, request)
	if err != nil {
		return err
	}
	return a.print(report, func(t *tableWriter) {
		for _, line := range report.Lines {
			t.row(line.Time.Format(time.RFC3339Nano), line.Daemon, line.Message, strings.Join(line.Fields, " "))
		}
		t.row(report.Cause)
	})
}
