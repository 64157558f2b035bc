# A client's packet has a NUL byte in its text. The database must run the text
# as it was sent, or nothing, as RULES.md, UNASKED, says.
use strict;
use warnings;
use Cwd qw(abs_path);
use Time::HiRes qw(time sleep);
use Rig;

my $trouble = ($ENV{TROUBLE} // 1) ne '0';
my $byte = $trouble ? "\0" : '-';

my $rig = Rig->new(record_file => 'record.txt', root => abs_path('../..'),
		   relay => 1);
$rig->start_platform;
$rig->start_node($_) for 0 .. 2;
$rig->wait_ready(0 .. 2);

my %sent;
my %outcome;
sub run {
	my ($client, $text) = @_;
	my $result = $client->run($text);

	$sent{$client->{id}} = $text;
	$outcome{$client->{id}} = $result;
	return $result;
}

# Each statement in a session of its own: the node may close it.
for my $i (1 .. 5) {
	my $client = $rig->client($i % 3, 'strict-0', "w$i") or exit 2;

	run($client, "WRITE lot$i 40-gourds${byte}of-batch-$i");
}
for my $i (1 .. 5) {
	my $client = $rig->client($i % 3, 'strict-0', "p$i") or exit 2;

	run($client, 'PREPARE s1 WRITE q1') eq 'done' or next;
	run($client, "EXECUTE s1 crate$i 7-tamburas${byte}for-dealer-$i");
}
sleep 1;

# What the relay before the databases has seen of these clients.
my ($changed, $acknowledged) = (0, 0);
for my $line ($rig->relayed) {
	while ($line =~ /QUERY (\S+) (?:AFTER \S+ )?(.*?)\\x0d\\x0a/g) {
		my ($id, $text) = ($1, $2);
		my $asked = $sent{$id} // next;

		$rig->note("a database is sent QUERY $id $text");
		# The name of a prepared statement may be changed.
		s/^EXECUTE \S+ // for $text, $asked;
		$asked =~ s/([^\x20-\x7e])/sprintf('\\x%02x', ord $1)/ge;
		next if $text eq $asked;
		$changed++;
		$acknowledged++ if $outcome{$id} eq 'done';
		$rig->note("UNASKED: $id was sent as \"$asked\", runs as " .
			   "\"$text\", and the client gets $outcome{$id}");
	}
}
my (undef, $report) = $rig->http('GET', $rig->{port}, '/report');
my ($kept) = $report =~ /"kept":(\{.*?\})/;
$rig->note('the primary keeps the data ' . ($kept // '?'));
my $summary = "statements run with changed text $changed, of these " .
	"acknowledged $acknowledged";
$rig->note($summary);
print "$summary\n";
exit($changed ? 1 : 0);
