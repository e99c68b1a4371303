package cli

type zoneCommand struct {
	Out zoneOutCommand `cmd:"" help:"Take an availability zone out."`
	In  zoneInCommand  `cmd:"" help:"Return an availability zone to service."`
}
