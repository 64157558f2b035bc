# Clients run a transaction each on a node that gets SIGTERM. Every statement
# that the node has read must be answered, as RULES.md, LOST, says.
use strict;
use warnings;
use Cwd qw(abs_path);
use Time::HiRes qw(time sleep);
use Rig;

my $trouble = ($ENV{TROUBLE} // 1) ne '0';
# Each figure is below its limit: two misses of the balancer, one a second;
# tx_idle_ms 3000; 12 statements; the work of a statement on such a route.
my $CONNECT_S = 1.5;
my $BEGIN_S = 2.0;
my $COMMIT_FIRST_S = 5.74;
my $COMMIT_STEP_S = 0.02;
my $WRITERS = 10;
my $READERS = 2;
my $WRITE_WORK_MS = 45;
my $READ_WORK_MS = 200;
my $GRACE_S = 6;
my $LOSS_SLACK_MS = 200;

my $rig = Rig->new(record_file => 'record.txt', root => abs_path('../..'),
		   relay => 1, grace_s => $GRACE_S);
$rig->start_platform;
$rig->start_node($_) for 0 .. 2;
$rig->wait_ready(0 .. 2);
sleep 2;

my $stop = time;
$rig->signal(0, 'TERM') if $trouble;
$rig->note('no SIGTERM in this run') unless $trouble;

sub wait_until {
	my ($at_s) = @_;
	my $left = $stop + $at_s - time;

	sleep $left if $left > 0;
}

# The steps of a client: seconds after the stop, text, work in ms.
sub writer_steps {
	my ($i) = @_;

	return ([$BEGIN_S, 'BEGIN', 0], [$BEGIN_S, "READ r$i", 0],
		# Statements that run when half of the grace is over.
		(map { [2.955 + 0.005 * ($i % 8), "READ r$i", $WRITE_WORK_MS] }
			1 .. 3),
		[5.2, "WRITE item$i data$i", 0],
		[$COMMIT_FIRST_S + $i * $COMMIT_STEP_S, 'COMMIT',
		 $WRITE_WORK_MS]);
}

sub reader_steps {
	my ($i) = @_;

	return ([$BEGIN_S, 'BEGIN READ', 0], [2.9, "READ r$i", $READ_WORK_MS],
		(map { [5.0, "READ r$i", $READ_WORK_MS] } 1 .. 9));
}

wait_until($CONNECT_S);
my @clients;
for my $i (0 .. $WRITERS + $READERS - 1) {
	my $reads = $i >= $WRITERS;
	my $client = $rig->client(0, $reads ? 'browse-0' : 'strict-0',
				  sprintf('%s%d', $reads ? 'r' : 'c', $i));

	if (!$client) {
		print STDERR "client $i was not let in\n";
		exit 2;
	}
	$client->{steps} = [$reads ? reader_steps($i) : writer_steps($i)];
	$client->{limit_ms} = $reads ? 2000 : 1000;
	push @clients, $client;
}

my ($answered, @cut) = (0);
my $end = $stop + $GRACE_S + 1;
while (time < $end) {
	my $waiting = 0;

	for my $client (@clients) {
		next if $client->{over};
		if ($client->{running}) {
			my $result = $client->poll(0);

			next unless $result;
			$client->{running} = 0;
			if ($result->{kind} eq 'closed') {
				push @cut, $client;
				$client->{over} = 1;
				next;
			}
			$answered++;
			# What a client does after an error or the end.
			$client->{over} = 1 if $result->{kind} eq 'error' ||
				!@{$client->{steps}};
			next;
		}
		my $step = $client->{steps}[0];

		next if time < $stop + $step->[0];
		shift @{$client->{steps}};
		$client->send($step->[1], $step->[2] ? "w$step->[2]-" : '');
		$client->{running} = 1;
		$waiting++;
	}
	sleep 0.001 unless $waiting;
}
$rig->has_ended(0);

my %passed_on = map { /QUERY (\S+) / ? ($1 => $_) : () } $rig->relayed;
my ($lost, $lost_commits) = (0, 0);
my (undef, $report) = $rig->http('GET', $rig->{port}, '/report');
for my $client (@clients) {
	next unless $client->{running} || grep { $_ == $client } @cut;
	my $sent_s = $client->{sent} - $stop;
	my $passed = $passed_on{$client->{id}};
	my ($i) = $client->{name} =~ /(\d+)/;
	my $kept = $client->{text} eq 'COMMIT' && $report =~ /"data$i":/;

	# Sent no later than 3 s after the stop, or cut by the route's timeout:
	# not counted.
	next if $sent_s < 3 || 1000 * (time - $client->{sent}) <
		$LOSS_SLACK_MS || !$passed;
	$lost++;
	$lost_commits++ if $kept;
	$rig->note(sprintf 'LOST: %s "%s", sent %.3f s after SIGTERM, was ' .
		   'passed on to a database%s and was never answered',
		   $client->{id}, $client->{text}, $sent_s,
		   $kept ? ', is committed there' : '');
}
my $summary = "answered $answered, passed on and never answered $lost, " .
	"of these committed $lost_commits";
$rig->note($summary);
print "$summary\n";
exit($lost ? 1 : 0);
