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
	DEAF_S => 6,	# for_s of replica_lag "deaf crash" in the site file
	CRASH_AFTER_S => 3,
	DARK_S => 7,	# for_s of srv_crash "dark primary" in the site file
	END_S => 4,
};

my %acknowledged;	# id of a write -> 1 once its client got a success
my ($writes, $lost) = (0, 0);

Site::begin(dirname(__FILE__) . '/record.txt');

sub on_commit {
	my ($ids, $database) = @_;

	Site::note("$database->{id} commits id=@$ids");
}

sub on_rolled_back {
	my ($promoted, @ids) = @_;

	Site::note("$promoted->{id} is promoted and lacks " . scalar(@ids) .
		' commits');
	for my $id (@ids) {
		next if !$acknowledged{$id};
		$lost++;
		Site::note("LOST id=$id was acknowledged, is not in the log " .
			"of $promoted->{id}");
	}
}

my $site = Site::create(
	zones => ['z-a', 'z-b', 'z-c'], nodes => ['z-a', 'z-b', 'z-c'],
	services => {core => {
		slots => 3, max_conns => 21, work_ms => 8, sync_replicas => 1,
		on_commit => \&on_commit, on_rolled_back => \&on_rolled_back,
	}},
	routes => [{
		name => 'r-1', database => 'pairs', service => 'core',
		route_type => 'primary', timeout_ms => 1000,
		target_latency_ms => 600, priority => 1,
	}]);
my ($primary, $first, $second) = @{$site->{services}{core}{databases}};

# Writes again and again, each time in a session of its own.
sub client {
	my ($number) = @_;
	my $member = $site->{members}[$number % @{$site->{members}}];

	Client::open_session($member->{port}, 'pairs', sub {
		my ($client) = @_;
		my $text = 'WRITE a' . ++$writes . ' x';
		my $id;
		my $again = sub {
			Client::close_session($client) if $client;
			Loop::after(PAUSE_S, sub { client($number) });
		};

		if (!$client) {
			$again->();
			return;
		}
		$id = Client::query($client, $text, sub {
			my ($answer) = @_;
			my $result = !$answer ? 'no answer' :
				     $answer->{error} // 'success';

			$acknowledged{$id} = 1 if $result eq 'success';
			Site::note("client id=$id $text -> $result");
			$again->();
		});
	});
}

Site::start_nodes($site);
Loop::run(3);
client($_) for 1 .. CLIENTS;
Loop::run(CALM_S);
Site::note("$second->{id} is to be replaced and reports draining");
$second->{draining} = 1;
Site::heartbeat($site);
if (Site::trouble()) {
	Site::note("$first->{id} receives nothing");
	Databases::deafen($first, DEAF_S);
}
Loop::run(CRASH_AFTER_S);
if (Site::trouble()) {
	Site::note("$primary->{id} goes dark");
	Databases::go_dark($primary, DARK_S);
}
Loop::run(END_S);

my $count = keys %acknowledged;
my $text = "writes=$writes acknowledged=$count acknowledged_and_lost=$lost";
Site::finish(2, "$text: too few were acknowledged") if $count < 100;
Site::finish($lost ? 1 : 0, $text);
