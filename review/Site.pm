# A small deployment on loopback: the platform's store (the project's own
# stand-in), databases, and nodes started with the command of the deploy file.
package Site;

use strict;
use warnings;

use File::Path qw(remove_tree);
use File::Temp qw(tempdir);
use IO::Socket::INET;
use JSON::PP;
use MIME::Base64;
use POSIX qw(WNOHANG);
use Time::HiRes qw(sleep time);

use Client;
use Databases;
use Loop;

use constant {
	PORTS_PER_NODE => 8,
	READY_WAIT_S => 20,
	HEARTBEAT_S => 1.2,
	RESTART_S => 0.5,
	GRACE_S => 6,
	CASE_S_MAX => 115,
};

my %children;	# process id -> name
my @folders;
my $record;

$| = 1;

# Prepares a case: watches its time, opens its record, ends all processes that
# were started when the program ends.
sub begin {
	my ($path) = @_;

	open($record, '>', $path) or die "cannot write $path: $!\n";
	$Client::on_send = sub { note("client id=$_[0] sends $_[1]") };
	$SIG{PIPE} = 'IGNORE';
	$SIG{ALRM} = sub { finish(2, 'the case took too long') };
	$SIG{INT} = $SIG{TERM} = sub { finish(2, 'interrupted') };
	alarm CASE_S_MAX;
	note('start, TROUBLE=' . ($ENV{TROUBLE} // 1));
}

sub trouble { return ($ENV{TROUBLE} // '1') ne '0' }

sub note {
	my ($text) = @_;

	printf $record "%.3f %s\n", time(), $text;
}

# Ends the program: 0 if the rule held, 1 if it was broken, 2 if the case could
# not run.
sub finish {
	my ($status, $text) = @_;

	alarm 0;
	note($text);
	print "$text\n";
	stop_processes();
	remove_tree(@folders) unless $ENV{KEEP};
	POSIX::_exit($status);
}

$SIG{__DIE__} = sub {
	die @_ if $^S;
	finish(2, "could not run: $_[0]");
};

sub stop_processes {
	kill 'CONT', keys %children;
	kill 'KILL', keys %children;
	waitpid $_, 0 for keys %children;
	%children = ();
}

# Reserves free ports in a row.
sub free_ports {
	my ($count) = @_;

	for (1 .. 200) {
		my $first = 20000 + int(rand 10000);
		my @sockets = map {
			IO::Socket::INET->new(
				LocalAddr => '127.0.0.1', LocalPort => $_,
				Listen => 1)
		} $first .. $first + $count - 1;

		return $first if $count == grep { defined } @sockets;
	}
	die "no free ports\n";
}

sub start_process {
	my ($name, $log, @command) = @_;
	my $id = fork() // die "fork: $!\n";

	if (!$id) {
		open(STDOUT, '>>', $log);
		open(STDERR, '>&', \*STDOUT);
		open(STDIN, '<', '/dev/null');
		exec @command or POSIX::_exit(127);
	}
	$children{$id} = $name;
	return $id;
}

# The command of the deploy file's only role.
sub node_command {
	open(my $file, '<', 'deploy/system.toml') or die "deploy file: $!\n";
	while (my $line = <$file>) {
		return split(" ", $1) if $line =~ /\Arun = "([^"]+)"/;
	}
	die "no run command in the deploy file\n";
}

# Creates a site.
#
# zones: names, each in a region of its own; nodes: zone of each node;
# services: options of Databases::create() by name; routes: as in op/config.
sub create {
	my (%options) = @_;
	my $site = {
		folder => tempdir('toucanhook-review-XXXXXX', TMPDIR => 1,
				  CLEANUP => 0), %options,
	};
	push @folders, $site->{folder};
	my $databases = 3 * keys %{$options{services}};
	my $port = free_ports(2 + $databases +
			      PORTS_PER_NODE * @{$options{nodes}});

	$site->{store_port} = $port++;
	$site->{control_port} = $port++;
	Loop::listen_on($site->{control_port},
		sub { serve_control($site, $_[0]) });
	start_process('store', "$site->{folder}/store.log",
		'target/bin/standin-site', "--port=$site->{store_port}",
		'--groups=0');
	for my $name (sort keys %{$options{services}}) {
		$site->{services}{$name} = Databases::create(
			name => $name, zones => $options{zones},
			ports => [$port .. $port + 2],
			on_change => sub { heartbeat($site) },
			%{$options{services}{$name}});
		$port += 3;
	}
	for my $zone (@{$options{nodes}}) {
		push @{$site->{members}}, {
			name => sprintf('edge-%s-%d', $zone,
				1 + scalar @{$site->{members} // []}),
			zone => $zone, port => $port, misses => 2,
		};
		$port += PORTS_PER_NODE;
	}
	wait_for_port($site->{store_port});
	put_config($site);
	heartbeat($site);
	Loop::every(HEARTBEAT_S, sub { heartbeat($site) });
	return $site;
}

# Serves POST /promote on a connection, which may carry several calls.
sub serve_control {
	my ($site, $connection) = @_;
	my ($size, $holder, $token) = (0, '-', '-');

	Loop::handle($connection, sub {
		my ($line) = @_;

		$size = $1 if $line =~ /\AContent-Length: *(\d+)/i;
		$holder = $1 if $line =~ /\AX-Lease-Holder: *(\S+)/i;
		$token = $1 if $line =~ /\AX-Fencing-Token: *(\S+)/i;
		return if length $line;
		Loop::expect_bytes($connection, $size, sub {
			answer_promote($site, $connection,
				decode_json($_[0] || '{}'), $holder, $token);
		});
	}, sub { });
}

sub answer_promote {
	my ($site, $connection, $body, $holder, $token) = @_;
	my $service = $site->{services}{$body->{service} // ''};
	my $done = $service &&
		Databases::promote($service, $body->{id} // '');

	note("promote service=$body->{service} id=$body->{id} " .
		"holder=$holder token=$token " .
		($done ? 'accepted' : 'refused'));
	$site->{on_promote}->($holder) if $site->{on_promote};
	Loop::send_text($connection,
		'HTTP/1.1 ' . ($done ? '200 OK' : '409 Conflict') .
		"\r\nContent-Type: application/json\r\n" .
		"Content-Length: 2\r\n\r\n{}");
}

sub wait_for_port {
	my ($port) = @_;

	for (1 .. 100) {
		return if IO::Socket::INET->new(
			PeerAddr => '127.0.0.1', PeerPort => $port);
		sleep 0.1;
	}
	die "nobody listens on port $port\n";
}

# One HTTP call; returns the status and the body.
sub call {
	my ($port, $method, $path, $body) = @_;
	my $socket = IO::Socket::INET->new(
		PeerAddr => '127.0.0.1', PeerPort => $port, Timeout => 1)
		or return (0, '');
	my $answer = '';

	$body //= '';
	print $socket "$method $path HTTP/1.1\r\nHost: 127.0.0.1:$port\r\n" .
		"Content-Length: " . length($body) .
		"\r\nConnection: close\r\n\r\n$body";
	local $/;
	$answer = <$socket> // '';
	return ($1, $2) if $answer =~ /\AHTTP\S+ (\d+).*?\r\n\r\n(.*)\z/s;
	return (0, '');
}

# Writes keys to the store, as the operator and the databases do.
sub put {
	my ($site, %values) = @_;
	my @puts = map {
		+{key => $_, lease => 0, value => encode_base64(
			JSON::PP->new->canonical->encode($values{$_}), '')}
	} sort keys %values;
	my ($status) = call($site->{store_port}, 'POST', '/kv-txn',
		encode_json({expected_rev => [], puts => \@puts,
			     remove => []}));

	die "the store answered $status\n" if $status != 200;
}

sub put_config {
	my ($site) = @_;
	my @services = map {
		+{name => $_, max_conns => $site->{services}{$_}{max_conns},
		  sync_replicas => $site->{services}{$_}{sync_replicas}}
	} sort keys %{$site->{services}};

	put($site, 'op/config' => {
		version => 7, services => \@services,
		routes => $site->{routes},
		limits => {tx_idle_ms => 3000},
	});
}

sub heartbeat {
	my ($site) = @_;
	my %values;

	for my $service (values %{$site->{services}}) {
		for my $database (@{$service->{databases}}) {
			$values{"servers/$database->{id}"} =
				Databases::entry($database)
				if !$database->{dark};
		}
	}
	put($site, %values);
}

sub write_settings {
	my ($site, $member) = @_;
	my $port = $member->{port};
	my $path = "$site->{folder}/$member->{name}.conf";

	open(my $file, '>', $path) or die "$path: $!\n";
	print $file "node_name=$member->{name}\nrole=node\n" .
		"machine_class=edge\nserves=edge\nip=127.0.0.1\n" .
		"zone=$member->{zone}\nregion=r-$member->{zone}\n" .
		join('', map { "zones.$_=r-$_\n" } @{$site->{zones}}) .
		"listen_addrs.front=127.0.0.1:$port\n" .
		'listen_addrs.ready_address=127.0.0.1:' . ($port + 1) . "\n" .
		'internal_ports=' . ($port + 2) . ',' . ($port + 7) . "\n" .
		"bootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\n" .
		"limits.memory_mb=260\nlimits.max_fds=4200\n" .
		"heartbeat_ms=1200\nbounds.grace_s=" . GRACE_S . "\n" .
		"platform.address=127.0.0.1:$site->{store_port}\n" .
		"platform.form=kv\n" .
		"cloud_api.address=127.0.0.1:$site->{control_port}\n";
	close $file;
	return $path;
}

sub start_node {
	my ($site, $member) = @_;

	local $ENV{TOUCANHOOK_BOOT} = write_settings($site, $member);
	$member->{pid} = start_process($member->{name},
		"$site->{folder}/$member->{name}.log", node_command());
	$member->{term_at} = undef;
	note("started $member->{name}, front port $member->{port}");
}

sub is_ready {
	my ($member) = @_;
	my ($status) = call($member->{port} + 1, 'GET', '/ready');

	return $status == 200;
}

# Starts all nodes and waits until they are ready, as the platform sees them.
sub start_nodes {
	my ($site) = @_;
	my $end = time() + READY_WAIT_S;

	start_node($site, $_) for @{$site->{members}};
	while (grep { !is_ready($_) } @{$site->{members}}) {
		die "the nodes did not get ready\n" if time() > $end;
		Loop::run(0.2);
	}
	note('all nodes are ready');
}

# Sends SIGTERM, and SIGKILL after the grace period, as the platform does.
sub terminate {
	my ($site, $member) = @_;
	my $pid = $member->{pid};

	$member->{term_at} = time();
	note("SIGTERM to $member->{name}");
	kill 'TERM', $pid;
	Loop::after(GRACE_S, sub {
		return if !$children{$pid};
		return if waitpid($pid, WNOHANG) == $pid;
		note("SIGKILL to $member->{name}");
		kill 'KILL', $pid;
	});
}

# Starts a node again soon after its process has ended.
sub start_again {
	my ($site, $member) = @_;

	if (has_ended($member)) {
		note("$member->{name} has ended");
		Loop::after(RESTART_S, sub { start_node($site, $member) });
	} else {
		Loop::after(RESTART_S, sub { start_again($site, $member) });
	}
}

# Returns whether the process has ended, and how.
sub has_ended {
	my ($member) = @_;
	my $pid = $member->{pid};

	return 0 if !$children{$pid} || waitpid($pid, WNOHANG) != $pid;
	delete $children{$pid};
	$member->{status} = $?;
	return 1;
}

1;
