# The project's nodes, each a process on loopback ports of its own.
package Nodes;
use strict;
use warnings;
use File::Copy ();
use File::Temp ();
use POSIX ();

# root: the repository; store: the platform; machines: name -> zone
sub new {
    my ($class, %options) = @_;
    my $self = bless { nodes => {}, %options }, $class;
    $self->{folder} = File::Temp::tempdir(CLEANUP => 1);
    $self->add($_, $self->{machines}{$_}) for sort keys %{ $self->{machines} };
    return $self;
}

# Finds free ports in a row, outside of the range that the kernel hands out.
sub free_ports {
    my ($count) = @_;
    for (1 .. 200) {
        my $first = 19000 + int rand 11000;
        my $free = grep { Loop::port_is_free($first + $_) } 0 .. $count - 1;
        return $first if $free == $count;
    }
    die 'no free ports';
}

sub add {
    my ($self, $name, $zone) = @_;
    my $port = free_ports(6);
    my $store = $self->{store}->port_for($name);
    my $path = "$self->{folder}/$name.conf";
    my %zones = map { $_ => 1 } values %{ $self->{machines} };

    open my $file, '>', $path or die "$path: $!";
    print $file <<"END";
node_name=$name
role=node
machine_class=edge
serves=edge
ip=127.0.0.1
zone=$zone
region=r-$zone
@{[ join "\n", map { "zones.$_=r-$_" } sort keys %zones ]}
listen_addrs.front=127.0.0.1:$port
listen_addrs.ready_address=127.0.0.1:@{[ $port + 1 ]}
internal_ports=@{[ $port + 2 ]},@{[ $port + 5 ]}
bootstrap=true
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=260
limits.max_fds=4300
heartbeat_ms=1200
bounds.contact_ms=5000
bounds.drain_ms=7000
bounds.grace_s=6
bounds.config_apply_ms=4000
bounds.require_fencing=false
bounds.thaw_slack_ms=300
platform.address=127.0.0.1:$store
platform.form=kv
cloud_api.address=127.0.0.1:$store
cloud_api.duties=promotion
END
    close $file;
    $self->{nodes}{$name} = { name => $name, zone => $zone, port => $port,
        conf => $path };
}

sub names {
    my ($self) = @_;
    return sort keys %{ $self->{nodes} };
}

sub start {
    my ($self, $name) = @_;
    my $node = $self->{nodes}{$name};
    my $pid = fork // die "fork: $!";
    if (!$pid) {
        $ENV{TOUCANHOOK_BOOT} = $node->{conf};
        chdir $self->{root};
        open STDOUT, '>>', "$self->{folder}/$name.log";
        open STDERR, '>&', \*STDOUT;
        exec "$self->{root}/target/bin/toucanhook-node"
            or POSIX::_exit(127);
    }
    $node->{pid} = $pid;
    $node->{ready} = 0;
}

sub signal {
    my ($self, $name, $signal) = @_;
    my $pid = $self->{nodes}{$name}{pid};
    kill $signal, $pid if $pid;
}

# Kills a node with SIGKILL and waits for its end.
sub kill_node {
    my ($self, $name) = @_;
    my $pid = delete $self->{nodes}{$name}{pid} or return;
    kill 'KILL', $pid;
    waitpid $pid, 0;
}

# Notes ends that nobody asked for. Returns their descriptions.
sub reap {
    my ($self) = @_;
    my @ends;
    for my $node (values %{ $self->{nodes} }) {
        next if !$node->{pid} || waitpid($node->{pid}, POSIX::WNOHANG) <= 0;
        push @ends, sprintf '%s ended, status %d, signal %d', $node->{name},
            $? >> 8, $? & 127;
        delete $node->{pid};
    }
    return @ends;
}

# Asks a node whether it is ready.
sub probe {
    my ($self, $name) = @_;
    my $node = $self->{nodes}{$name};
    my $conn = Loop::connect_to($node->{port} + 1) or return;
    $conn->{on_data} = sub {
        $node->{ready} = $conn->{in} =~ m{^HTTP/1\.1 200} ? 1 : 0;
        $conn->close;
    };
    $conn->{on_end} = sub { $node->{ready} = 0 };
    $conn->put("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    Loop::after(0.5, sub { $conn->close });
}

# Waits until all nodes are ready. Returns whether they are.
sub wait_ready {
    my ($self, $seconds) = @_;
    my $until = Loop::now() + $seconds;
    while (Loop::now() < $until) {
        $self->probe($_) for $self->names;
        Loop::run(Loop::now() + 0.2);
        return 1 if !grep { !$_->{ready} } values %{ $self->{nodes} };
    }
    return 0;
}

sub stop_all {
    my ($self) = @_;
    for my $node (values %{ $self->{nodes} }) {
        my $pid = delete $node->{pid} or next;
        kill 'CONT', $pid;
        kill 'KILL', $pid;
        waitpid $pid, 0;
    }
}

# Copies the logs of the nodes to a folder.
sub keep_logs {
    my ($self, $folder) = @_;
    File::Copy::copy($_, $folder) for glob "$self->{folder}/*.log";
}

sub DESTROY { $_[0]->stop_all }

1;
