# An event loop: sockets, timers and child processes.
package Loop;
use strict;
use warnings;
use Errno qw(EAGAIN EINTR EINPROGRESS);
use Fcntl qw(F_GETFL F_SETFL O_NONBLOCK FD_CLOEXEC F_SETFD);
use Socket qw(:DEFAULT IPPROTO_TCP TCP_NODELAY SOL_SOCKET SO_REUSEADDR
    SO_LINGER);
use Time::HiRes ();

my (%watched, @timers);
my $serial = 0;
my $stopped = 0;

# The steady clock, in seconds.
sub now { return Time::HiRes::clock_gettime(Time::HiRes::CLOCK_MONOTONIC()) }

# Calls $code after $delay seconds. Returns a handle for cancel().
sub after {
    my ($delay, $code) = @_;
    my $timer = { at => now() + $delay, code => $code, id => ++$serial };
    @timers = sort { $a->{at} <=> $b->{at} || $a->{id} <=> $b->{id} }
        (@timers, $timer);
    return $timer;
}

sub cancel { $_[0]{code} = undef if $_[0] }

# Calls $code every $interval seconds.
sub every {
    my ($interval, $code) = @_;
    after($interval, sub { $code->(); every($interval, $code) });
}

sub nonblocking {
    my ($fh) = @_;
    fcntl($fh, F_SETFL, fcntl($fh, F_GETFL, 0) | O_NONBLOCK);
    fcntl($fh, F_SETFD, FD_CLOEXEC);
    setsockopt($fh, IPPROTO_TCP, TCP_NODELAY, 1);
}

# Listens on a loopback port; 0 takes a free one. Returns the port.
sub listen_on {
    my ($port, $accepted) = @_;
    socket(my $fh, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
    setsockopt($fh, SOL_SOCKET, SO_REUSEADDR, 1);
    bind($fh, pack_sockaddr_in($port, INADDR_LOOPBACK))
        or die "cannot bind port $port: $!";
    listen($fh, 256) or die "listen: $!";
    nonblocking($fh);
    $watched{fileno $fh} = {
        fh => $fh,
        readable => sub {
            while (my $peer = accept(my $new, $fh)) {
                nonblocking($new);
                $accepted->(Loop::Conn->new($new));
            }
        } };
    return ((unpack_sockaddr_in(getsockname($fh)))[0], $fh);
}

sub close_listener {
    my ($fh) = @_;
    delete $watched{fileno $fh};
    close $fh;
}

# Returns whether a loopback port is free now.
sub port_is_free {
    my ($port) = @_;
    socket(my $fh, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
    my $free = bind($fh, pack_sockaddr_in($port, INADDR_LOOPBACK));
    close $fh;
    return $free;
}

sub connect_to {
    my ($port) = @_;
    socket(my $fh, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
    nonblocking($fh);
    connect($fh, pack_sockaddr_in($port, INADDR_LOOPBACK))
        or $! == EINPROGRESS or return undef;
    return Loop::Conn->new($fh);
}

sub stop { $stopped = 1 }

sub step {
    my ($limit) = @_;
    my ($r, $w) = ('', '');
    for my $fd (keys %watched) {
        my $entry = $watched{$fd};
        vec($r, $fd, 1) = 1 if $entry->{readable};
        vec($w, $fd, 1) = 1 if $entry->{conn} && length $entry->{conn}{out};
    }
    @timers = grep { $_->{code} } @timers;
    my $wait = @timers ? $timers[0]{at} - now() : $limit;
    $wait = 0 if $wait < 0;
    $wait = $limit if $wait > $limit;
    my $count = select($r, $w, undef, $wait);
    if ($count && $count > 0) {
        for my $fd (keys %watched) {
            my $entry = $watched{$fd} or next;
            $entry->{conn}->flush if vec($w, $fd, 1) && $entry->{conn};
            $entry->{readable}->() if vec($r, $fd, 1) && $watched{$fd}
                && $watched{$fd} == $entry;
        }
    }
    my $now = now();
    while (@timers && $timers[0]{at} <= $now) {
        my $timer = shift @timers;
        my $code = $timer->{code};
        $timer->{code} = undef;
        $code->() if $code;
    }
}

sub run {
    my ($until) = @_;
    $stopped = 0;
    step(0.05) while !$stopped && now() < $until;
}

# Runs the loop until $check is true. Returns whether it became so in time.
sub wait_for {
    my ($seconds, $check) = @_;
    my $until = now() + $seconds;
    while (now() < $until) {
        return 1 if $check->();
        step(0.02);
    }
    return $check->() ? 1 : 0;
}

# A connection with an output buffer.
package Loop::Conn;
use strict;
use warnings;
use Errno qw(EAGAIN EINTR);
use Socket qw(SOL_SOCKET SO_LINGER);

sub new {
    my ($class, $fh) = @_;
    my $self = bless { fh => $fh, in => '', out => '' }, $class;
    $watched{fileno $fh} = { fh => $fh, conn => $self,
        readable => sub { $self->read_some } };
    return $self;
}

sub read_some {
    my ($self) = @_;
    my $size = sysread($self->{fh}, $self->{in}, 262144, length $self->{in});
    if (!defined $size) {
        return if $! == EAGAIN || $! == EINTR;
        $self->end;
    } elsif (!$size) {
        $self->end;
    } elsif ($self->{on_data}) {
        $self->{on_data}->($self);
    }
}

sub put {
    my ($self, $bytes) = @_;
    return if $self->{closed};
    $self->{out} .= $bytes;
    $self->flush;
}

sub flush {
    my ($self) = @_;
    return if $self->{closed} || !length $self->{out};
    my $size = syswrite($self->{fh}, $self->{out});
    if (defined $size) {
        substr($self->{out}, 0, $size, '');
    } elsif ($! != EAGAIN && $! != EINTR) {
        $self->end;
    }
}

# Closes the connection; the peer sees its end.
sub close {
    my ($self) = @_;
    return if $self->{closed};
    $self->{closed} = 1;
    delete $watched{fileno $self->{fh}};
    CORE::close($self->{fh});
}

# Closes the connection with a reset.
sub reset {
    my ($self) = @_;
    return if $self->{closed};
    setsockopt($self->{fh}, SOL_SOCKET, SO_LINGER, pack('ii', 1, 0));
    $self->close;
}

# The peer has closed the connection, or it broke.
sub end {
    my ($self) = @_;
    return if $self->{closed};
    $self->close;
    $self->{on_end}->($self) if $self->{on_end};
}

# Takes the next line that ends with CR LF, without its end, or undef.
sub line {
    my ($self) = @_;
    my $at = index($self->{in}, "\r\n");
    return undef if $at < 0;
    my $line = substr($self->{in}, 0, $at);
    substr($self->{in}, 0, $at + 2, '');
    return $line;
}

1;
