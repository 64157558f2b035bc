use strict;
use warnings;

use File::Basename qw(dirname);
use Time::HiRes qw(time);

use Client;
use Loop;
use Site;

use constant {
	SESSIONS => 3000,
	PARALLEL => 4,
	SHAPE_SIZE => 3,
};

my %wanted;	# statement id -> definition that its client had prepared
my ($done, $run, $wrong, $failed) = (0, 0, 0, 0);

Site::begin(dirname(__FILE__) . '/record.txt');
srand($ENV{SEED} // $$);

# A shape of three letters or digits, as the pages show them.
sub new_shape {
	my @letters = ('a' .. 'z', '0' .. '9');

	return join '', map { $letters[rand @letters] } 1 .. SHAPE_SIZE;
}

sub on_run {
	my ($seen) = @_;
	my $wanted = $wanted{$seen->{id}};

	return if !defined $wanted;
	$run++;
	Site::note("$seen->{database} runs id=$seen->{id} as " .
		"\"$seen->{definition}\"");
	return if $seen->{definition} eq $wanted;
	$wrong++;
	Site::note("WRONG id=$seen->{id} database=$seen->{database} " .
		"client prepared \"$wanted\", database ran " .
		"\"$seen->{definition}\"");
}

my $site = Site::create(
	zones => ['z-a', 'z-b', 'z-c'], nodes => ['z-a', 'z-b', 'z-c'],
	services => {core => {
		slots => 3, max_conns => 21, work_ms => 8,
		on_run => \&on_run,
	}},
	routes => [{
		name => 'r-1', database => 'orders', service => 'core',
		route_type => 'primary', timeout_ms => 1000,
		target_latency_ms => 600, priority => 1,
	}]);

# One session: prepares a shape and executes it once.
sub session {
	my ($number) = @_;
	my $member = $site->{members}[$number % @{$site->{members}}];
	my $kind = $number % 2 ? 'WRITE' : 'READ';
	my $shape = Site::trouble() ? new_shape() : 'q2c';
	my $definition = "$kind $shape";

	Client::open_session($member->{port}, 'orders', sub {
		my ($client) = @_;

		if (!$client) {
			$failed++;
			session_ended();
			return;
		}
		Client::query($client, "PREPARE s1 $definition", sub {
			execute($client, $number, $kind, $definition);
		});
	});
}

sub execute {
	my ($client, $number, $kind, $definition) = @_;
	my $data = $kind eq 'WRITE' ? " data$number" : '';
	my $id;

	$id = Client::query($client, "EXECUTE s1 item$number$data", sub {
		my ($answer) = @_;
		my $result = !$answer ? 'no answer' :
			     $answer->{error} // 'success';

		$failed++ if $result ne 'success';
		Site::note("id=$id s1=\"$definition\" EXECUTE s1 " .
			"item$number$data -> $result");
		Client::close_session($client);
		session_ended();
	});
	$wanted{$id} = $definition;
}

my $started = 0;

sub session_ended {
	Loop::stop() if ++$done == SESSIONS;
	session($started++) if $started < SESSIONS;
}

Site::start_nodes($site);
Loop::run(2);
session($started++) for 1 .. PARALLEL;
Loop::run(80);

my $text = "sessions=$done run=$run wrong_shape=$wrong failed=$failed";
Site::finish(2, "$text: too few were run") if $run < SESSIONS * 9 / 10;
Site::finish($wrong ? 1 : 0, $text);
