# What the scripts of the second review share: a small site of real processes
# on loopback addresses, a relay before the databases, clients of the line
# protocol, and the record.
package Rig;

use strict;
use warnings;
use Carp qw(croak);
use Errno qw(EAGAIN EINTR EWOULDBLOCK);
use File::Path qw(remove_tree);
use File::Temp qw(tempdir);
use IO::Select;
use IO::Socket::INET;
use POSIX qw(WNOHANG);
use Time::HiRes qw(time sleep);

$SIG{PIPE} = 'IGNORE';

# Ports of a site, from its first one: the stand-in's store, then its
# databases; the relay's ports, which the store publishes; those of the nodes.
use constant {
	RELAY_OFFSET	=> 100,
	DATABASES	=> 3,
	NODE_OFFSET	=> 200,
	PORTS_PER_NODE	=> 10,
	PORTS_PER_SITE	=> 300,
};
use constant ZONES => qw(z-a z-b z-c);

sub new {
	my ($class, %options) = @_;
	my $self = bless {
		pids => {}, started => time, nodes => {}, owner => $$,
		directory => tempdir('review-XXXXXX', TMPDIR => 1),
		grace_s => 6, memory_mb => 260, cpu_share => 0.25,
		%options,
	}, $class;

	open($self->{record}, '>', $options{record_file})
		or croak "cannot write $options{record_file}: $!";
	$self->{record}->autoflush(1);
	$self->{port} = free_ports();
	# A signal must not leave processes behind.
	$SIG{$_} = sub { exit 2 } for qw(INT TERM HUP);
	return $self;
}

# Finds a range of ports none of which is in use now.
sub free_ports {
	for my $try (0 .. 60) {
		my $port = 20000 + (($$ * 7 + $try) % 36) * PORTS_PER_SITE;
		my $free = 1;

		for my $offset (0 .. 10, RELAY_OFFSET .. RELAY_OFFSET + 10,
				NODE_OFFSET .. NODE_OFFSET + 60) {
			my $socket = IO::Socket::INET->new(
				LocalAddr => '127.0.0.1', Proto => 'tcp',
				LocalPort => $port + $offset, Listen => 1,
				ReuseAddr => 1);
			$free = 0 unless $socket;
			last unless $free;
		}
		return $port if $free;
	}
	print STDERR "no free ports\n";
	exit 2;
}

# Writes one line of the record, with the time since the start.
sub note {
	my ($self, $text) = @_;

	$text =~ s/([^\x20-\x7e])/sprintf('\\x%02x', ord $1)/ge;
	$text = substr($text, 0, 240) . '... (' . length($text) . ' characters)'
		if length $text > 300;
	printf { $self->{record} } "%9.3f  %s\n", time - $self->{started}, $text;
}

sub spawn {
	my ($self, $name, $environment, @command) = @_;
	my $pid = fork // croak "fork: $!";

	if (!$pid) {
		open STDIN, '<', '/dev/null';
		open STDOUT, '>>', "$self->{directory}/$name.log";
		open STDERR, '>&', \*STDOUT;
		$ENV{$_} = $environment->{$_} for keys %$environment;
		exec { $command[0] } @command or POSIX::_exit(127);
	}
	$self->{pids}{$pid} = $name;
	return $pid;
}

# Starts the platform's store and calls, and one group of three databases.
sub start_platform {
	my ($self) = @_;
	my @command = ("$self->{root}/target/bin/standin-site",
		       "--port=$self->{port}", '--groups=1', '--seed=1');

	push @command, '--shown-offset=' . RELAY_OFFSET if $self->{relay};
	$self->start_relay if $self->{relay};
	$self->spawn('platform', {}, @command);
	$self->wait_for_port($self->{port});
}

sub wait_for_port {
	my ($self, $port) = @_;

	for (1 .. 100) {
		return if IO::Socket::INET->new(PeerAddr => '127.0.0.1',
						PeerPort => $port);
		sleep 0.05;
	}
	print STDERR "nothing listens on port $port\n";
	exit 2;
}

sub node_port {
	my ($self, $node, $index) = @_;

	return $self->{port} + NODE_OFFSET + $node * PORTS_PER_NODE + $index;
}

sub front_port { return $_[0]->node_port($_[1], 0) }
sub ready_port { return $_[0]->node_port($_[1], 1) }

# Starts a node, as the deploy file says.
sub start_node {
	my ($self, $node) = @_;
	my $settings = "$self->{directory}/node-$node.conf";
	my $zone = (ZONES)[$node % 3];
	my ($front, $ready, $first, $last) =
		map { $self->node_port($node, $_) } 0, 1, 2, 5;

	open my $file, '>', $settings or croak "$settings: $!";
	print $file <<"END";
node_name=node-$node
zone=$zone
region=r-$zone
ip=127.0.0.1
zones.z-a=r-z-a
zones.z-b=r-z-b
zones.z-c=r-z-c
listen_addrs.front=127.0.0.1:$front
listen_addrs.ready_address=127.0.0.1:$ready
internal_ports=$first,$last
limits.cpu_share=$self->{cpu_share}
limits.memory_mb=$self->{memory_mb}
bounds.grace_s=$self->{grace_s}
platform.address=127.0.0.1:$self->{port}
cloud_api.address=127.0.0.1:$self->{port}
END
	close $file;
	$self->{nodes}{$node} = $self->spawn(
		"node-$node", {TOUCANHOOK_BOOT => $settings},
		"$self->{root}/target/bin/toucanhook-node");
	$self->note("node-$node starts");
	return $self->{nodes}{$node};
}

sub signal {
	my ($self, $node, $name) = @_;

	kill $name, $self->{nodes}{$node};
	$self->note("node-$node gets SIG$name");
}

# Returns whether the node's process has ended; its exit status in $?.
sub has_ended {
	my ($self, $node) = @_;
	my $pid = $self->{nodes}{$node};

	return 1 unless $self->{pids}{$pid};
	return 0 unless waitpid($pid, WNOHANG) == $pid;
	delete $self->{pids}{$pid};
	$self->note("node-$node has ended, status $?");
	return 1;
}

# Sends an HTTP request. Returns the status and the body, or 0 without answer.
sub http {
	my ($self, $method, $port, $path, $timeout_s) = @_;
	my $socket = IO::Socket::INET->new(PeerAddr => '127.0.0.1',
					   PeerPort => $port) or return (0, '');
	my $answer = '';
	my $end = time + ($timeout_s // 2);

	syswrite $socket, "$method $path HTTP/1.1\r\nHost: 127.0.0.1\r\n" .
		"Content-Length: 0\r\nConnection: close\r\n\r\n";
	while (IO::Select->new($socket)->can_read($end - time)) {
		last unless sysread $socket, $answer, 65536, length $answer;
		last if time > $end;
	}
	return (0, '') unless $answer =~ m{^HTTP/1\.\d (\d+).*?\r\n\r\n(.*)}s;
	return ($1, $2);
}

# The balancer's question; no answer within a second counts as none.
sub is_ready {
	my ($self, $node) = @_;
	my ($status) = $self->http('GET', $self->ready_port($node), '/ready',
				   1);

	return $status == 200;
}

# Waits until the nodes are ready and the primary serves.
sub wait_ready {
	my ($self, @nodes) = @_;
	my $end = time + 20;

	for my $node (@nodes) {
		my $served = 0;

		while (!$served && time < $end) {
			my $client = $self->is_ready($node) &&
				$self->client($node, 'strict-0', 'probe');

			$served = $client && $client->run('READ probe') eq 'done';
			sleep 0.1;
		}
		next if $served;
		print STDERR "node-$node does not serve\n";
		exit 2;
	}
	$self->note('all nodes are ready');
}

sub client {
	my ($self, $node, $database, $name) = @_;

	return Rig::Client->open($self, $node, $database, $name);
}

# Ends all processes, also after an error.
sub DESTROY {
	my ($self) = @_;
	local $?;

	return if $$ != $self->{owner};
	kill 'KILL', keys %{$self->{pids}};
	waitpid $_, 0 for keys %{$self->{pids}};
	if ($ENV{KEEP_LOGS}) {
		system 'cp', '-r', $self->{directory}, $ENV{KEEP_LOGS};
	}
	remove_tree($self->{directory});
}

# A relay between the nodes and the databases, in a process of its own. It
# records what the nodes send, and delays the answer to a client's statement
# whose id begins with wN- by N ms, as if the database worked for so long.
sub start_relay {
	my ($self) = @_;
	my $pid = fork // croak "fork: $!";

	if ($pid) {
		$self->{pids}{$pid} = 'relay';
		$self->wait_for_port($self->{port} + RELAY_OFFSET + 1);
		return;
	}
	$SIG{$_} = 'DEFAULT' for qw(INT TERM HUP);
	relay_loop($self);
	POSIX::_exit(0);
}

sub relay_loop {
	my ($self) = @_;
	my $select = IO::Select->new;
	# Per socket: the other side; when its bytes may be passed on; which wait.
	my (%listeners, %peer, %release, %held, %is_node);

	open my $log, '>', $self->relay_log;
	$log->autoflush(1);
	for my $database (1 .. DATABASES) {
		my $listener = IO::Socket::INET->new(
			LocalAddr => '127.0.0.1', Listen => 128,
			LocalPort => $self->{port} + RELAY_OFFSET + $database,
			ReuseAddr => 1) or POSIX::_exit(1);
		$listeners{$listener} = $self->{port} + $database;
		$select->add($listener);
	}
	for (;;) {
		for my $socket ($select->can_read(%held ? 0.001 : 0.2)) {
			if ($listeners{$socket}) {
				my $node = $socket->accept or next;
				my $database = IO::Socket::INET->new(
					PeerAddr => '127.0.0.1',
					PeerPort => $listeners{$socket});

				next unless $database;
				setsockopt $_, 6, 1, 1 for $node, $database;
				$peer{$node} = $database;
				$peer{$database} = $node;
				$is_node{$node} = 1;
				$select->add($node, $database);
				next;
			}
			next unless $peer{$socket};
			if (!sysread $socket, my $bytes, 65536) {
				my $other = delete $peer{$socket};

				delete $peer{$other};
				for ($socket, $other) {
					delete $held{$_};
					delete $release{$_};
					delete $is_node{$_};
					$select->remove($_);
					close $_;
				}
			} elsif ($is_node{$socket}) {
				my $database = $peer{$socket};

				$release{$database} = time + $1 / 1000
					if $bytes =~ /^QUERY w(\d+)-/m;
				(my $shown = $bytes) =~
					s/([^\x20-\x7e])/sprintf('\\x%02x', ord $1)/ge;
				printf $log "%.3f %s\n", time,
					substr($shown, 0, 400)
					if $bytes =~ /^QUERY (?!- )/m;
				write_all($database, $bytes);
			} elsif ($held{$socket} || ($release{$socket} // 0) > time) {
				$held{$socket}{bytes} .= $bytes;
				$held{$socket}{node} = $peer{$socket};
			} else {
				write_all($peer{$socket}, $bytes);
			}
		}
		for my $socket (keys %held) {
			next if ($release{$socket} // 0) > time;
			my $answer = delete $held{$socket};

			write_all($answer->{node}, $answer->{bytes});
		}
	}
}

sub relay_log { return "$_[0]{directory}/relay.log" }

# Returns the lines that the relay has recorded.
sub relayed {
	my ($self) = @_;

	open my $log, '<', $self->relay_log or return;
	return <$log>;
}

sub write_all {
	my ($socket, $bytes) = @_;

	while (length $bytes) {
		my $count = syswrite $socket, $bytes;

		return 0 unless defined $count;
		substr $bytes, 0, $count, '';
	}
	return 1;
}

# A session of one client.
package Rig::Client;

use strict;
use warnings;
use Time::HiRes qw(time sleep);

# Opens a session. Returns nothing if it was rejected or not answered in 2 s.
sub open {
	my ($class, $rig, $node, $database, $name) = @_;
	my $socket = IO::Socket::INET->new(
		PeerAddr => '127.0.0.1',
		PeerPort => $rig->front_port($node)) or return;
	my $self = bless {rig => $rig, socket => $socket, name => $name,
			  input => '', state => 'I', count => 0}, $class;

	setsockopt $socket, 6, 1, 1;
	Rig::write_all($socket, "STARTUP $database $name\r\n");
	my $end = time + 2;
	while (time < $end && defined $self->{state}) {
		my $result = $self->poll(0.05) or next;

		return $result->{kind} eq 'ready' ? $self : undef;
	}
	return;
}

# Sends a statement. Its id is remembered until the answer.
sub send {
	my ($self, $text, $id_prefix) = @_;

	$self->{id} = sprintf '%s%s%d', $id_prefix // '', $self->{name},
		++$self->{count};
	$self->{sent} = time;
	$self->{text} = $text;
	$self->{lines} = [];
	$self->{rig}->note("$self->{name} sends QUERY $self->{id} $text")
		unless $self->{quiet};
	return Rig::write_all($self->{socket}, "QUERY $self->{id} $text\r\n");
}

# Reads what has arrived, waiting at most for the given time. Returns nothing
# while the answer is incomplete, else a hash with the kind (done, error, ready
# after the start-up, closed), code and text.
sub poll {
	my ($self, $wait_s) = @_;

	if (IO::Select->new($self->{socket})->can_read($wait_s)) {
		my $count = sysread $self->{socket}, $self->{input}, 65536,
			length $self->{input};

		return $self->finish({kind => 'closed'}) unless $count;
	}
	while ($self->{input} =~ s/^(.*?)\r\n//s) {
		my $line = $1;

		push @{$self->{lines}}, $line;
		next unless $line =~ /^READY (\S)/;
		$self->{state} = $1;
		return $self->finish($self->result);
	}
	return;
}

sub result {
	my ($self) = @_;
	my @lines = @{$self->{lines}};
	my ($error) = grep { /^ERROR / } @lines;

	return {kind => 'error', code => (split ' ', $error)[1],
		text => $error} if $error;
	return {kind => (grep { /^COMPLETE/ } @lines) ? 'done' : 'ready',
		text => join ' | ', @lines};
}

sub finish {
	my ($self, $result) = @_;

	$self->{rig}->note(sprintf '%s gets %s after %.0f ms: %s', $self->{name},
			   $result->{kind}, 1000 * (time - $self->{sent}),
			   $result->{text} // 'the connection is closed')
		if $self->{sent} && !$self->{quiet};
	$result->{id} = $self->{id};
	$result->{after_ms} = 1000 * (time - ($self->{sent} // time));
	return $result;
}

# Runs a statement. Returns 'done', the code of an error, 'closed', or 'none'
# without an answer in time.
sub run {
	my ($self, $text, $id_prefix, $timeout_s) = @_;
	my $end = time + ($timeout_s // 5);

	$self->send($text, $id_prefix) or return 'closed';
	while (time < $end) {
		my $result = $self->poll(0.05) or next;

		$self->{last} = $result;
		return $result->{kind} eq 'error' ? $result->{code} :
			$result->{kind};
	}
	$self->{rig}->note("$self->{name} has no answer to $self->{id}");
	return 'none';
}

sub close {
	my ($self) = @_;

	close $self->{socket};
}

1;
