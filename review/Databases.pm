# Stand-in databases of one service, as PROTOCOL.md describes them: one primary
# and its replicas, slots, connections, prepared names, transactions and a log.
package Databases;

use strict;
use warnings;

use Time::HiRes qw(time);

use Loop;

use constant {
	FIRST_POSITION => 100,
	STEP_DOWN_S => 1,
	CONTROL => qr/\A(STATUS|PAUSE|RESUME|STEPDOWN)/,
};

# Creates the databases of a service and listens.
#
# service, ports; slots, max_conns, work_ms, lag_ms of each database;
# grey: share of requests that the primary fails while $service->{grey_on};
# on_run: called with each statement that a database runs.
sub create {
	my (%options) = @_;
	my $service = {
		slots => 5, max_conns => 34, work_ms => 8, lag_ms => 8,
		grey => 0, one_way_ms => 0, sync_replicas => 0, promote_ms => 300, term => 1, log => [], %options,
	};
	my $index = 0;

	for my $port (@{$options{ports}}) {
		my $database = {
			service => $service, port => $port, running => 0,
			id => sprintf('i-%s-%d', $options{name}, $index),
			zone => $options{zones}[$index % @{$options{zones}}],
			primary => $index == 0, term => 1, fence => 0,
			conns => 0,
			waiting => [], sequence => 0,
			born => int(1000 * time()),
		};

		push @{$service->{databases}}, $database;
		listen_for($database);
		$index++;
	}
	return $service;
}

sub listen_for {
	my ($database) = @_;

	$database->{listener} = Loop::listen_on($database->{port},
		sub { accepted($database, $_[0]) });
}

# Partitions a database from all nodes: connections end, new ones are refused.
sub cut {
	my ($database) = @_;

	Loop::stop_listening($database->{listener});
	leave($_) for values %{$database->{sessions}};
}

sub heal {
	my ($database) = @_;

	listen_for($database);
}

# Returns the entry of a database as it reports it to the platform's store.
sub entry {
	my ($database) = @_;
	my $service = $database->{service};

	return {
		service => $service->{name},
		address => "127.0.0.1:$database->{port}",
		zone => $database->{zone}, version => 'v1',
		slots => $service->{slots},
		state => $database->{draining} ? 'draining' : 'ready',
		cold_remaining_ms => 0,
		db_role => $database->{primary} ? 'primary' : 'replica',
		sequence => ++$database->{sequence},
		born => $database->{born},
	};
}

# Number of commits that the database has received. The log of the service is
# that of its newest primary; a paused or deaf replica receives nothing.
sub received_count {
	my ($database) = @_;
	my $count = @{$database->{service}{log}};

	for my $stopped_at ($database->{paused_at}, $database->{deaf_at}) {
		$count = $stopped_at
			if defined $stopped_at && $stopped_at < $count;
	}
	return $count;
}

# A replica receives nothing for a while.
sub deafen {
	my ($database, $for_s) = @_;

	$database->{deaf_at} = @{$database->{service}{log}};
	Loop::after($for_s, sub { $database->{deaf_at} = undef });
}

# A database goes dark for a while: it is silent, and comes back with its log, as
# a replica if another one was promoted.
sub go_dark {
	my ($database, $for_s) = @_;

	$database->{dark} = 1;
	Loop::after($for_s, sub {
		$database->{dark} = 0;
		$database->{born} = int(1000 * time());
		leave($_) for values %{$database->{sessions}};
		step_down($database);
	});
}

# Whether a replica receives what the primary commits.
sub has_receiver {
	my ($service) = @_;

	return grep {
		!$_->{primary} && !$_->{dark} && !defined $_->{paused_at} &&
			!defined $_->{deaf_at}
	} @{$service->{databases}};
}

# Number of commits that the database has applied.
sub applied_count {
	my ($database) = @_;
	my $log = $database->{service}{log};
	my $since = time() - $database->{service}{lag_ms} / 1000;
	my $count = received_count($database);

	return $count if $database->{primary};
	$count-- while $count && $log->[$count - 1]{time} > $since;
	return $count;
}

# The position after a number of commits, as term and number.
sub position_at {
	my ($database, $count) = @_;
	my $last = $count ? $database->{service}{log}[$count - 1] : undef;

	return ($last ? $last->{term} : 1, FIRST_POSITION + $count);
}

sub position {
	my ($database) = @_;

	return join '.', position_at($database, applied_count($database));
}

# The named database leads the next term with what it has received. The old
# primary goes on until STEPDOWN, or for a second.
sub promote {
	my ($service, $id) = @_;
	my ($new) = grep { $_->{id} eq $id } @{$service->{databases}};
	my ($old) = grep { $_->{primary} && $_->{term} == $service->{term} }
		@{$service->{databases}};

	return 0 if !$new;
	return 1 if $old && $old == $new;
	return 0 if $new->{dark};
	Loop::after($service->{promote_ms} / 1000, sub {
		lead($service, $new, $old) if !$new->{primary};
	});
	return 1;
}

sub lead {
	my ($service, $new, $old) = @_;
	my $log = $service->{log};
	my @lost = splice(@$log, received_count($new));

	$service->{on_rolled_back}->($new, map { @{$_->{writes}} } @lost)
		if @lost && $service->{on_rolled_back};
	$service->{term}++;
	$service->{leader} = $new->{id};
	$new->{primary} = 1;
	$new->{fence} = 0;
	$new->{paused_at} = undef;
	for my $database (@{$service->{databases}}) {
		$database->{term} = $service->{term}
			if $database == $new || !$database->{primary};
	}
	$service->{on_change}->() if $service->{on_change};
	Loop::after(STEP_DOWN_S, sub { step_down($old) }) if $old;
}

sub step_down {
	my ($database) = @_;
	my $service = $database->{service};

	return if !$database->{primary} ||
		$database->{term} == $service->{term};
	$database->{primary} = 0;
	$database->{term} = $service->{term};
	$service->{on_change}->() if $service->{on_change};
}

sub accepted {
	my ($database, $connection) = @_;
	my $session = {
		database => $database, connection => $connection,
		state => 'I', prepared => {}, values => {}, writes => [],
		requests => [],
	};

	$database->{conns}++;
	$database->{sessions}{$session} = $session;
	Loop::handle($connection,
		sub {
			my ($line) = @_;

			over_link($session, sub { received($session, $line) });
		},
		sub { over_link($session, sub { leave($session) }) });
}

# Does something after the time that a message takes one way.
sub over_link {
	my ($session, $callback) = @_;
	my $delay_ms = $session->{database}{service}{one_way_ms};

	if ($delay_ms) {
		Loop::after($delay_ms / 1000, $callback);
	} else {
		$callback->();
	}
}

sub send_text {
	my ($session, $text) = @_;

	return if $session->{database}{dark};
	over_link($session, sub {
		Loop::send_text($session->{connection}, $text);
	});
}

# A connection that ends rolls back.
sub leave {
	my ($session) = @_;

	return if $session->{gone};
	$session->{gone} = 1;
	$session->{database}{conns}--;
	delete $session->{database}{sessions}{$session};
	over_link($session, sub { Loop::close_now($session->{connection}) });
}

sub reject {
	my ($session, $code) = @_;

	send_text($session, "ERROR $code $session->{database}{id}\r\n");
	leave($session);
}

sub received {
	my ($session, $line) = @_;

	return if $session->{gone} || $session->{database}{dark};
	if (!$session->{started}) {
		start_up($session, $line);
	} elsif ($line =~ /\AQUERY (\S+) (.+)\z/) {
		push @{$session->{requests}}, [$1, $2];
		next_request($session);
	} elsif ($line =~ /\ATERMINATE/) {
		leave($session);
	}
}

sub start_up {
	my ($session, $line) = @_;
	my $database = $session->{database};
	my $service = $database->{service};
	my (undef, $name, undef, $id) = split / /, $line;

	$session->{started} = 1;
	if (($name // '') ne $service->{name} ||
	    (defined $id && $id ne $database->{id})) {
		reject($session, 'WRONGNODE');
	} elsif ($database->{conns} > $service->{max_conns}) {
		reject($session, 'TOOMANY');
	} else {
		ready($session);
	}
}

sub ready {
	my ($session) = @_;

	send_text($session,
		"READY $session->{state} " .
		position($session->{database}) . "\r\n");
}

sub answer {
	my ($session, @lines) = @_;

	send_text($session,
		join('', map { "$_\r\n" } @lines));
	ready($session);
	$session->{busy} = 0;
	next_request($session);
}

sub complete {
	my ($session, @rows) = @_;

	answer($session, (map { "DATAROW $_" } @rows), 'COMPLETE -');
}

# An error inside a transaction makes it a failed one.
sub fail {
	my ($session, $code) = @_;

	$session->{state} = 'E' if $session->{state} ne 'I';
	answer($session, "ERROR $code $session->{database}{id}");
}

sub end_transaction {
	my ($session) = @_;

	$session->{state} = 'I';
	$session->{read_only} = 0;
	$session->{writes} = [];
}

sub next_request {
	my ($session) = @_;

	return if $session->{busy} || $session->{gone} ||
		$session->{database}{dark};
	my $request = shift @{$session->{requests}} or return;
	my ($id, $text) = @$request;

	$session->{busy} = 1;
	if ($text =~ s/\AAFTER (\d+)\.(\d+) //) {
		my ($term, $number) = ($1, $2);
		my ($have, $last) = split /\./, position($session->{database});

		if ($term > $have || ($term == $have && $number > $last)) {
			fail($session, 'LAGGING');
			return;
		}
	}
	run($session, $id, $text);
}

# Whether a grey primary fails this request of a client.
sub is_failed {
	my ($session, $id) = @_;
	my $database = $session->{database};
	my $service = $database->{service};

	return $id ne '-' && $service->{grey_on} && $database->{primary} &&
		rand() < $service->{grey};
}

sub run {
	my ($session, $id, $text) = @_;
	my $database = $session->{database};

	if ($session->{state} eq 'E' && $text !~ /\A(COMMIT|ROLLBACK)\z/) {
		fail($session, 'MALFORMED');
	} elsif ($text eq 'RESET') {
		$session->{values} = {};
		$session->{prepared} = {};
		complete($session);
	} elsif ($text =~ /\ASET (\S+) (.+)\z/) {
		$session->{values}{$1} = $2;
		complete($session);
	} elsif ($text =~ /\APREPARE (\S+) ((?:READ|WRITE) .+)\z/) {
		$session->{prepared}{$1} = $2;
		complete($session);
	} elsif ($text =~ /\ACLOSE (\S+)\z/) {
		delete $session->{prepared}{$1};
		complete($session);
	} elsif ($text eq 'ROLLBACK') {
		end_transaction($session);
		complete($session);
	} elsif ($text =~ /\ABEGIN( READ)?\z/) {
		begin($session, $id, $1);
	} else {
		work($session, $id, $text);
	}
}

sub begin {
	my ($session, $id, $read_only) = @_;

	if (!$read_only && !$session->{database}{primary}) {
		fail($session, 'READONLY');
		return;
	}
	if (is_failed($session, $id)) {
		note($session, $id, 'BEGIN failed');
		fail($session, 'FAILED');
		return;
	}
	$session->{state} = 'T';
	$session->{read_only} = $read_only ? 1 : 0;
	complete($session);
}

# STATUS, and the orders that go with a promotion.
sub control {
	my ($session, $text) = @_;
	my $database = $session->{database};
	my $service = $database->{service};

	if ($text =~ /\APAUSE (\d+)/ && !$database->{primary} &&
	    $1 > $database->{term}) {
		$database->{paused_at} //= scalar @{$service->{log}};
		$database->{fence} = $1;
	} elsif ($text eq 'RESUME') {
		$database->{paused_at} = undef;
		$database->{fence} = 0;
	} elsif ($text =~ /\ASTEPDOWN (\d+)/ && $1 > $database->{term}) {
		step_down($database);
	}
	complete($session, join(' ',
		$database->{primary} ? 'primary' : 'replica',
		$database->{term},
		join('.', position_at($database, received_count($database))),
		$database->{fence},
		$database->{primary} ? 0 : $service->{lag_ms},
		$database->{running}, $database->{conns}));
}

# Reads, writes, commits and STATUS occupy a slot; as many may wait as there are
# slots.
sub work {
	my ($session, $id, $text) = @_;
	my $database = $session->{database};
	my $slots = $database->{service}{slots};

	if ($database->{running} < $slots) {
		execute($session, $id, $text);
	} elsif (@{$database->{waiting}} < $slots) {
		push @{$database->{waiting}}, [$session, $id, $text];
	} else {
		busy($session);
	}
}

# BUSY means that the statement did not run; a transaction stays open.
sub busy {
	my ($session) = @_;

	answer($session, "ERROR BUSY $session->{database}{id}");
}

sub execute {
	my ($session, $id, $text) = @_;
	my $database = $session->{database};

	$database->{running}++;
	my $is_control = $text =~ CONTROL;
	my $work_ms = $is_control ? 1 : $database->{service}{work_ms};

	Loop::after($work_ms / 1000, sub {
		my $next;

		$database->{running}--;
		if ($session->{gone} || $database->{dark}) {
			# Its connection has ended: nothing is run.
		} elsif ($is_control) {
			control($session, $text);
		} else {
			finish($session, $id, $text);
		}
		while ($next = shift @{$database->{waiting}}) {
			next if $next->[0]{gone};
			execute(@$next);
			last;
		}
	});
}

sub note {
	my ($session, $id, $what, %more) = @_;
	my $database = $session->{database};

	$database->{service}{on_run}->({
		time => time(), database => $database->{id}, id => $id,
		what => $what, state => $session->{state}, %more})
		if $database->{service}{on_run};
}

sub signature {
	my ($session) = @_;
	my $database = $session->{database};

	return sprintf('%d.%x.%s', $database->{service}{term},
		++$database->{runs}, $database->{id});
}

sub finish {
	my ($session, $id, $text) = @_;
	my $database = $session->{database};
	my ($writes, $definition) = (0, '');

	if ($session->{state} eq 'T' && !$session->{read_only} &&
	    !$database->{primary} &&
	    ($text ne 'COMMIT' || @{$session->{writes}})) {
		end_transaction($session) if $text eq 'COMMIT';
		fail($session, 'READONLY');
		return;
	}
	if ($text eq 'COMMIT') {
		finish_commit($session, $id);
		return;
	}
	if ($text =~ /\AEXECUTE (\S+) (.+)\z/) {
		$definition = $session->{prepared}{$1};
		if (!defined $definition) {
			fail($session, 'UNKNOWN');
			return;
		}
		$writes = $definition =~ /\AWRITE/;
	} else {
		$writes = $text =~ /\AWRITE/;
	}
	if ($writes && (!$database->{primary} || $session->{read_only})) {
		fail($session, 'READONLY');
		return;
	}
	if (is_failed($session, $id)) {
		note($session, $id, "$text failed");
		fail($session, 'FAILED');
		return;
	}
	note($session, $id, $text, definition => $definition,
		writes => $writes);
	if ($writes && $session->{state} eq 'I') {
		commit($session, [$id]);
		return if !is_acknowledged($session);
	} elsif ($writes) {
		push @{$session->{writes}}, $id;
	}
	answer($session, ($writes ? () : 'DATAROW v'),
		'COMPLETE ' . signature($session));
}

sub finish_commit {
	my ($session, $id) = @_;
	my $failed = $session->{state} eq 'E';
	my $writes = $session->{writes};

	end_transaction($session);
	if ($failed) {
		fail($session, 'ABORTED');
		return;
	}
	note($session, $id, 'COMMIT');
	commit($session, $writes) if @$writes;
	return if @$writes && !is_acknowledged($session);
	answer($session, 'COMPLETE ' . signature($session));
}

# With sync_replicas, a commit that no replica receives is not acknowledged.
sub is_acknowledged {
	my ($session) = @_;
	my $service = $session->{database}{service};

	return !$service->{sync_replicas} || has_receiver($service);
}

sub commit {
	my ($session, $writes) = @_;
	my $database = $session->{database};
	my $service = $database->{service};

	$service->{on_commit}->($writes, $database)
		if $service->{on_commit};
	# The log of an old primary is rolled back.
	return if $database->{term} < $service->{term};
	push @{$service->{log}}, {
		time => time(), term => $database->{term},
		writes => [@$writes]};
}

1;
