package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crstore"
	"cardamomring.dev/pkg/crdoc"
)

// backupArgs are the arguments of backup.
type backupArgs struct {
	Check   *backupCheckArgs   `arg:"subcommand:check" help:"check a copy of a control instance's log file"`
	Restore *backupRestoreArgs `arg:"subcommand:restore" help:"fill an empty data folder from a copy; only after the loss of a quorum's disks"`
}

// backupCheckArgs are the arguments of backup check.
type backupCheckArgs struct {
	File string `arg:"positional,required" placeholder:"FILE"`
}

// backupRestoreArgs are the arguments of backup restore.
type backupRestoreArgs struct {
	Config string `arg:"-c,--config,required" placeholder:"FILE" help:"settings file of the instance that starts the new group"`
	File   string `arg:"positional,required" placeholder:"FILE" help:"checked copy of a log file"`
}

// runBackup checks or restores a copy of a log file and prints a summary of its
// contents.
func runBackup(a *backupArgs, out, errOut io.Writer) int {
	var summary crreplica.Backup
	var err error
	switch {
	case a.Check != nil:
		summary, err = checkBackup(a.Check.File)
	case a.Restore != nil:
		summary, err = restoreBackup(a.Restore)
	default:
		fmt.Fprintln(errOut, "backup: want check or restore")
		return exitUsage
	}
	if err == nil {
		err = json.NewEncoder(out).Encode(summary)
	}
	if err != nil {
		fmt.Fprintf(errOut, "backup: %v\n", err)
		return exitFailed
	}
	return exitOK
}

// checkBackup reads and checks a copy of a log file.
func checkBackup(file string) (crreplica.Backup, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return crreplica.Backup{}, err
	}
	return crreplica.CheckBackup(data)
}

// restoreBackup fills the data folder named by the settings from a copy.
func restoreBackup(a *backupRestoreArgs) (crreplica.Backup, error) {
	settings, err := loadSettings(crdoc.RoleControl, a.Config)
	if err != nil {
		return crreplica.Backup{}, err
	}
	data, err := os.ReadFile(a.File)
	if err != nil {
		return crreplica.Backup{}, err
	}
	replica := settings.Replica
	folder, err := crstore.OpenFolder(replica.DataDir)
	if err != nil {
		return crreplica.Backup{}, err
	}
	return crreplica.RestoreFolder(folder, data, replica.ID, replica.Members)
}
