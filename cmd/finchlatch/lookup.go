package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/miekg/dns"
	"github.com/spf13/cobra"
)

func lookupCommand() *cobra.Command {
	var server, suffix string
	var tcp bool
	c := &cobra.Command{Use: "lookup NUMBER", Short: "Ask a call server by ENUM where a number goes: this takes a lease", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			digits := strings.TrimPrefix(args[0], "+")
			if digits == "" || len(digits) > 15 || strings.Trim(digits, "0123456789") != "" {
				return fmt.Errorf("%q is not 1 to 15 digits", args[0])
			}
			name := ""
			for i := len(digits) - 1; i >= 0; i-- {
				name += digits[i:i+1] + "."
			}
			q := new(dns.Msg).SetQuestion(dns.Fqdn(name+suffix), dns.TypeNAPTR)
			q.SetEdns0(1232, false)
			client := &dns.Client{Timeout: 5 * time.Second}
			if tcp {
				client.Net = "tcp"
			}
			m, took, err := client.Exchange(q, server)
			if err != nil {
				return fmt.Errorf("%s: %w", server, err)
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%s in %v\n", dns.RcodeToString[m.Rcode], took.Round(time.Microsecond))
			for _, rr := range m.Answer {
				if n, ok := rr.(*dns.NAPTR); ok {
					fmt.Fprintf(out, "order %d preference %d %s %s\n", n.Order, n.Preference, n.Service, n.Regexp)
				}
			}
			if opt := m.IsEdns0(); opt != nil {
				for _, o := range opt.Option {
					if e, ok := o.(*dns.EDNS0_EDE); ok {
						fmt.Fprintf(out, "%s: %s\n", dns.ExtendedErrorCodeToString[e.InfoCode], e.ExtraText)
					}
				}
			}
			return nil
		}}
	c.Flags().StringVar(&server, "server", "127.0.0.1:5353", "address of the call server's look-ups")
	c.Flags().StringVar(&suffix, "suffix", "e164.arpa", "domain of the numbers")
	c.Flags().BoolVar(&tcp, "tcp", false, "ask over TCP")
	return c
}
