package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"brackenbend/internal/config"
	"brackenbend/internal/fake/apiserver"
	"brackenbend/internal/fake/engine"
	"brackenbend/internal/telemetry"
)

// upSettings are the settings of the up command. Its blanks are the listen address, the admin address and the URL of
// the API server.
const upSettings = `<brackenbend>
  <front name="up" listen=%q admin=%q/>
  <log format="console"/>
  <service fronts="1" max-attempts="4" release-within="500ms" writers-read="true" cancel="true"/>
  <class name="any" effect="safe" aim="2s" deadline="30s" late-worth="0.5"/>
  <kind name="reader" role="reader" memory="200000tokens"/>
  <kind name="writer" role="writer" memory="200000tokens"/>
  <model name="stand-in" bytes-per-token="4" max-output="256tokens"/>
  <session from="first-message"/>
  <prefix from="system-messages"/>
  <engines dialect="extended"/>
  <register url=%q namespace="default"/>
</brackenbend>`

func upCommand() *cobra.Command {
	var listen, admin string
	cmd := &cobra.Command{
		Use:   "up",
		Short: "Run a gateway with fake engines, all in one process, to try it out",
		Example: "  brackenbend up\n" +
			"  curl -N http://127.0.0.1:8080/v1/chat/completions -d '{\"model\":\"stand-in\",\"stream\":true," +
			"\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return up(cmd, listen, admin) },
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:8080", "address for clients")
	cmd.Flags().StringVar(&admin, "admin", "127.0.0.1:8090", "address for health and metrics")
	return cmd
}

// up runs the gateway, the fake engines and the fake API server in this process.
func up(cmd *cobra.Command, listen, admin string) error {
	apiServer, err := apiserver.Start("127.0.0.1:0", nil)
	if err != nil {
		return err
	}
	defer apiServer.Close()
	for i, role := range []string{"reader", "reader", "writer", "writer"} {
		server, err := startEmbeddedEngine(role, fmt.Sprintf("%s-%d", role, i%2+1))
		if err != nil {
			return err
		}
		defer server.Close()
		info := server.Info()
		apiServer.Set(apiserver.Entry{
			Name: info.Name, Kind: info.Kind, Zone: info.Zone, Cell: info.Cell, Address: info.Address, UID: info.UID,
			Ready: true,
		})
	}
	text := fmt.Sprintf(upSettings, listen, admin, apiServer.URL())
	settings, err := config.Parse(filepath.Join("embedded", "up.xml"), []byte(text))
	if err != nil {
		return configError(err)
	}
	log, err := telemetry.NewLogger(os.Stderr, settings.Log.Format, settings.Log.Level, settings.Log.LinesPerSecond)
	if err != nil {
		return err
	}
	gatewayDaemon, err := startDaemon(settings, log)
	if err != nil {
		return err
	}
	defer gatewayDaemon.stop()
	_, err = fmt.Fprintf(cmd.OutOrStdout(),
		"gateway on http://%s (model \"stand-in\"), metrics on http://%s/metrics; stop with Ctrl-C\n",
		gatewayDaemon.clientAddress, admin)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-gatewayDaemon.listenerErrors:
		return err
	case <-signals:
		return nil
	}
}

// startEmbeddedEngine starts a fake engine in this process.
func startEmbeddedEngine(role, name string) (*engine.Server, error) {
	return engine.Start(engine.Config{
		Name: name, Kind: role, Zone: "zone-1", Cell: "cell-1", Params: fakeEngineParams(role), CanCancel: true,
	}, "127.0.0.1:0", false)
}
