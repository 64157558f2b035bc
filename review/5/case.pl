use strict;
use warnings;

use File::Basename qw(dirname);

use Client;
use Loop;
use Site;

use constant {
	CLIENTS => 12,
	PAUSE_S => 0.1,
	CALM_S => 4,
	GREY_S => 6.5,		# for_s of srv_grey in the site file
	GREY_SHARE => 0.45,	# x of srv_grey there
	END_S => 5,
};

# Statement id -> the transaction in which its client sent it.
my %transaction_of;
my ($transactions, $run, $outside, $unasked) = (0, 0, 0, 0);

Site::begin(dirname(__FILE__) . '/record.txt');

sub on_run {
	my ($seen) = @_;
	my $transaction = $transaction_of{$seen->{id}} or return;

	$run++;
	Site::note("database=$seen->{database} id=$seen->{id} " .
		"state=$seen->{state} $seen->{what}");
	return if $seen->{state} ne 'I' || !$seen->{writes};
	$outside++;
	Site::note("PINNED id=$seen->{id} of transaction " .
		"$transaction->{number} ran outside a transaction");
}

sub on_commit {
	my ($ids, $database) = @_;

	for my $id (@$ids) {
		my $transaction = $transaction_of{$id} or next;

		next if $transaction->{commit_sent};
		$unasked++;
		Site::note("UNASKED id=$id of transaction " .
			"$transaction->{number} is committed on " .
			"$database->{id}, its client has not sent COMMIT");
	}
}

my $site = Site::create(
	zones => ['z-a', 'z-b', 'z-c'], nodes => ['z-a', 'z-b'],
	services => {core => {
		zones => ['z-c', 'z-a', 'z-b'], one_way_ms => 20,
		slots => 5, max_conns => 61, work_ms => 8, lag_ms => 90,
		promote_ms => 600, grey => GREY_SHARE,
		on_run => \&on_run, on_commit => \&on_commit,
	}},
	routes => [{
		name => 'r-1', database => 'pairs', service => 'core',
		route_type => 'primary', timeout_ms => 1000,
		target_latency_ms => 600, priority => 1,
	}]);

# Runs transactions one after the other, each in a session of its own.
sub client {
	my ($number) = @_;
	my $member = $site->{members}[$number % @{$site->{members}}];

	Client::open_session($member->{port}, 'pairs', sub {
		my ($client) = @_;
		my $transaction = {
			client => $client, number => ++$transactions,
			steps => ['BEGIN', "WRITE a$transactions x1",
				  "WRITE b$transactions x2",
				  rand() < 0.7 ? 'COMMIT' : 'ROLLBACK'],
			ended => sub {
				Client::close_session($client) if $client;
				Loop::after(PAUSE_S, sub { client($number) });
			},
		};

		if ($client) {
			step($transaction);
		} else {
			$transaction->{ended}->();
		}
	});
}

# Sends the next statement. A client gives up after an error, as it retries the
# whole operation with new ids.
sub step {
	my ($transaction) = @_;
	my $text = shift @{$transaction->{steps}};
	my $id;

	if (!$text) {
		$transaction->{ended}->();
		return;
	}
	$transaction->{commit_sent} = 1 if $text eq 'COMMIT';
	$id = Client::query($transaction->{client}, $text, sub {
		my ($answer) = @_;
		my $result = !$answer ? 'no answer' :
			     $answer->{error} // 'success';

		Site::note("client transaction=$transaction->{number} " .
			"id=$id $text -> $result");
		if ($result eq 'success') {
			step($transaction);
		} else {
			$transaction->{ended}->();
		}
	});
	$transaction_of{$id} = $transaction;
}

Site::start_nodes($site);
Loop::run(2);
client($_) for 1 .. CLIENTS;
Loop::run(CALM_S);
$site->{services}{core}{grey_on} = Site::trouble();
Site::note('the primary is grey') if Site::trouble();
Loop::run(GREY_S);
$site->{services}{core}{grey_on} = 0;
Loop::run(END_S);

my $text = "transactions=$transactions run=$run " .
	"run_outside=$outside committed_unasked=$unasked";
Site::finish(2, "$text: too few were run") if $run < 100;
Site::finish($outside || $unasked ? 1 : 0, $text);
