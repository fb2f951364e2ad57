package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/miekg/dns"
	"github.com/spf13/cobra"
)

const (
	maxDigits   = 15   // of a number in E.164
	ednsPayload = 1232 // octets of a UDP response, which pass without fragmentation
)

// lookupCommand sends an ENUM query to a call server.
func lookupCommand() *cobra.Command {
	var server, suffix string
	var tcp bool
	c := &cobra.Command{Use: "lookup NUMBER", Short: "Query a call server by ENUM for the route of a number; this takes a lease", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			digits := strings.TrimPrefix(args[0], "+")
			if digits == "" || len(digits) > maxDigits || strings.Trim(digits, "0123456789") != "" {
				return fmt.Errorf("%q is not 1 to 15 digits", args[0])
			}
			name := ""
			for i := len(digits) - 1; i >= 0; i-- {
				name += digits[i:i+1] + "."
			}
			query := new(dns.Msg).SetQuestion(dns.Fqdn(name+suffix), dns.TypeNAPTR)
			query.SetEdns0(ednsPayload, false)
			client := &dns.Client{Timeout: 5 * time.Second}
			if tcp {
				client.Net = "tcp"
			}
			reply, took, err := client.Exchange(query, server)
			if err != nil {
				return fmt.Errorf("%s: %w", server, err)
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%s in %v\n", dns.RcodeToString[reply.Rcode], took.Round(time.Microsecond))
			for _, rr := range reply.Answer {
				if naptr, ok := rr.(*dns.NAPTR); ok {
					fmt.Fprintf(out, "order %d preference %d %s %s\n", naptr.Order, naptr.Preference, naptr.Service, naptr.Regexp)
				}
			}
			if opt := reply.IsEdns0(); opt != nil {
				for _, option := range opt.Option {
					if extendedError, ok := option.(*dns.EDNS0_EDE); ok {
						fmt.Fprintf(out, "%s: %s\n", dns.ExtendedErrorCodeToString[extendedError.InfoCode], extendedError.ExtraText)
					}
				}
			}
			return nil
		}}
	c.Flags().StringVar(&server, "server", "127.0.0.1:5353", "address of the call server's ENUM service")
	c.Flags().StringVar(&suffix, "suffix", "e164.arpa", "domain that ENUM names end in")
	c.Flags().BoolVar(&tcp, "tcp", false, "send the query over TCP")
	return c
}
