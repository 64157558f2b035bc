# A small event loop for the stand-ins: line connections, listeners, timers.
package Loop;

use strict;
use warnings;

use Errno qw(EAGAIN EINTR EWOULDBLOCK);
use IO::Socket::INET;
use Socket qw(IPPROTO_TCP TCP_NODELAY);
use Time::HiRes qw(time);

use constant READ_BYTES => 65536;
use constant IDLE_WAIT_S => 0.2;

my %handlers;	# descriptor number -> connection or listener
my @timers;	# [time, serial, callback], sorted by time
my $serial = 0;
my $stopped;

# Calls back once after a delay in seconds. Returns a handle for cancel().
sub after {
	my ($delay_s, $callback) = @_;
	my $timer = [time() + $delay_s, ++$serial, $callback];
	my ($low, $high) = (0, scalar @timers);

	while ($low < $high) {
		my $middle = ($low + $high) >> 1;

		if ($timers[$middle][0] <= $timer->[0]) {
			$low = $middle + 1;
		} else {
			$high = $middle;
		}
	}
	splice(@timers, $low, 0, $timer);
	return $timer;
}

sub cancel {
	my ($timer) = @_;

	$timer->[2] = undef if $timer;
}

# Calls back again and again with a pause in between.
sub every {
	my ($pause_s, $callback) = @_;

	after($pause_s, sub { $callback->(); every($pause_s, $callback) });
}

sub stop { $stopped = 1 }

# Runs the loop for a time, or until stop() is called.
sub run {
	my ($for_s) = @_;
	my $end = time() + $for_s;

	$stopped = 0;
	while (!$stopped && time() < $end) {
		run_timers();
		last if $stopped;
		poll($end);
	}
}

sub run_timers {
	while (@timers && $timers[0][0] <= time()) {
		my $timer = shift @timers;

		$timer->[2]->() if $timer->[2];
		return if $stopped;
	}
}

sub poll {
	my ($end) = @_;
	my $wait = @timers ? $timers[0][0] - time() : IDLE_WAIT_S;
	my ($reads, $writes) = ('', '');

	$wait = IDLE_WAIT_S if $wait > IDLE_WAIT_S;
	$wait = 0 if $wait < 0;
	for my $number (keys %handlers) {
		my $handler = $handlers{$number};

		vec($reads, $number, 1) = 1 unless $handler->{paused};
		vec($writes, $number, 1) = 1 if length($handler->{out} // '');
	}
	return if select($reads, $writes, undef, $wait) <= 0;
	for my $number (keys %handlers) {
		my $handler = $handlers{$number} or next;

		flush($handler) if vec($writes, $number, 1);
		next if $handler->{closed} || !vec($reads, $number, 1);
		if ($handler->{accept}) {
			accept_one($handler);
		} else {
			receive($handler);
		}
	}
}

# Listens on a loopback port; calls back with each accepted connection.
sub listen_on {
	my ($port, $callback) = @_;
	my $socket = IO::Socket::INET->new(
		LocalAddr => '127.0.0.1', LocalPort => $port,
		Listen => 512, ReuseAddr => 1, Blocking => 0)
		or die "cannot listen on $port: $!\n";

	my $listener = {socket => $socket, accept => $callback};
	$handlers{fileno $socket} = $listener;
	return $listener;
}

sub stop_listening {
	my ($listener) = @_;

	delete $handlers{fileno $listener->{socket}};
	close $listener->{socket};
}

sub accept_one {
	my ($listener) = @_;
	my $socket = $listener->{socket}->accept or return;

	$listener->{accept}->(adopt($socket));
}

# Connects to a loopback port. Returns undef if it is refused.
sub connect_to {
	my ($port) = @_;
	my $socket = IO::Socket::INET->new(
		PeerAddr => '127.0.0.1', PeerPort => $port, Timeout => 2)
		or return undef;

	return adopt($socket);
}

sub adopt {
	my ($socket) = @_;
	my $connection = {socket => $socket, in => '', out => ''};

	$socket->blocking(0);
	setsockopt($socket, IPPROTO_TCP, TCP_NODELAY, 1);
	$handlers{fileno $socket} = $connection;
	return $connection;
}

# Sets the callbacks: each line without its end, and the end of the connection.
sub handle {
	my ($connection, $on_line, $on_close) = @_;

	$connection->{on_line} = $on_line;
	$connection->{on_close} = $on_close;
}

sub send_text {
	my ($connection, $text) = @_;

	return if $connection->{closed};
	$connection->{out} .= $text;
	flush($connection);
}

sub flush {
	my ($connection) = @_;

	while (length $connection->{out}) {
		my $size = syswrite($connection->{socket}, $connection->{out});

		if (!defined $size) {
			return if $! == EAGAIN || $! == EWOULDBLOCK;
			next if $! == EINTR;
			ended($connection);
			return;
		}
		substr($connection->{out}, 0, $size, '');
	}
}

sub receive {
	my ($connection) = @_;
	my $size = sysread($connection->{socket}, my $bytes, READ_BYTES);

	if (!defined $size) {
		return if $! == EAGAIN || $! == EWOULDBLOCK || $! == EINTR;
	}
	if (!$size) {
		ended($connection);
		return;
	}
	$connection->{in} .= $bytes;
	deliver($connection);
}

# Hands out whole lines, or the bytes that expect_bytes() asked for.
sub deliver {
	my ($connection) = @_;

	while (!$connection->{closed}) {
		if (my $expected = $connection->{expected}) {
			my ($size, $callback) = @$expected;

			return if length $connection->{in} < $size;
			$connection->{expected} = undef;
			$callback->(substr($connection->{in}, 0, $size, ''));
		} elsif ($connection->{in} =~ s/\A([^\r\n]*)\r?\n//) {
			$connection->{on_line}->($1) if $connection->{on_line};
		} else {
			return;
		}
	}
}

# Calls back with a number of bytes in place of the next lines.
sub expect_bytes {
	my ($connection, $size, $callback) = @_;

	$connection->{expected} = [$size, $callback];
}

# Closes a connection without calling back.
sub close_now {
	my ($connection) = @_;

	return if $connection->{closed};
	$connection->{closed} = 1;
	delete $handlers{fileno $connection->{socket}};
	close $connection->{socket};
}

sub ended {
	my ($connection) = @_;

	return if $connection->{closed};
	close_now($connection);
	$connection->{on_close}->() if $connection->{on_close};
}

1;
