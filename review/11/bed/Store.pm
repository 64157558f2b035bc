# The platform: its store and its promotions, one port for each machine.
package Store;
use strict;
use warnings;
use JSON::PP ();
use MIME::Base64 ();

my $json = JSON::PP->new->canonical;

# log: called with a line for the record
# promote: called with ($service, $id, $holder, $token), returns the status
sub new {
    my ($class, %options) = @_;
    my $self = bless { items => {}, history => [], leases => {}, rev => 1,
        last_lease => 1000, watches => [], turned_away => {}, %options },
        $class;
    Loop::every(0.02, sub { $self->expire });
    return $self;
}

# Opens the port of one machine.
sub port_for {
    my ($self, $machine) = @_;
    my ($port) = Loop::listen_on(0, sub {
        my ($conn) = @_;
        $conn->{machine} = $machine;
        $conn->{on_data} = sub { $self->requests($conn) };
    });
    return $port;
}

# Turns a machine away: each of its calls is answered with 503, also those that
# wait; undef serves it again.
sub turn_away {
    my ($self, $machine, $on) = @_;
    $self->{turned_away}{$machine} = $on;
    return if !$on;
    for my $watch (grep { $_->{conn}{machine} eq $machine }
        @{ $self->{watches} }) {
        $watch->{done} = 1;
        Loop::cancel($watch->{timer});
        $self->answer($watch->{conn}, 503, {});
    }
    $self->{watches} = [ grep { !$_->{done} } @{ $self->{watches} } ];
}

sub answer {
    my ($self, $conn, $status, $body) = @_;
    my $text = $json->encode($body);
    $conn->put("HTTP/1.1 $status X\r\nContent-Type: application/json\r\n"
        . 'Content-Length: ' . length($text) . "\r\n\r\n$text");
}

sub requests {
    my ($self, $conn) = @_;
    while ($conn->{in} =~ /\A(.*?)\r\n\r\n/s) {
        my $head = $1;
        my ($size) = $head =~ /^content-length:\s*(\d+)/mi;
        $size //= 0;
        my $start = length($head) + 4;
        return if length($conn->{in}) < $start + $size;
        my $body = substr($conn->{in}, $start, $size);
        substr($conn->{in}, 0, $start + $size, '');
        my ($method, $target) = $head =~ /\A(\S+) (\S+)/;
        my %header = map { /^([^:]+):\s*(.*)$/ ? (lc $1, $2) : () }
            split /\r\n/, $head;
        $self->serve($conn, $method, $target, $body, \%header);
    }
}

sub serve {
    my ($self, $conn, $method, $target, $body, $header) = @_;
    my ($path, $query) = split /\?/, $target, 2;
    my %query = map {
        my ($name, $value) = split /=/, $_, 2;
        $value //= '';
        $value =~ s/%([0-9A-Fa-f]{2})/chr hex $1/ge;
        ($name, $value);
    } split /&/, $query // '';
    my $in = length $body ? $json->decode($body) : {};

    if ($path eq '/promote') {
        my $status = $self->{promote}->($in->{service}, $in->{id},
            $header->{'x-lease-holder'}, $header->{'x-fencing-token'});
        return $self->answer($conn, $status, {});
    }
    if ($self->{turned_away}{ $conn->{machine} }) {
        return $self->answer($conn, 503, {});
    }
    if ($path eq '/kv-key') {
        my $item = $self->{items}{ $query{key} };
        return $self->answer($conn, 404, {}) if !$item;
        return $self->answer($conn, 200,
            { %$item, current_rev => $self->{rev} });
    }
    return $self->range($conn, \%query) if $path eq '/kv-range';
    return $self->watch($conn, \%query) if $path eq '/kv-watch';
    return $self->txn($conn, $in) if $path eq '/kv-txn';
    if ($path eq '/kv-lease') {
        my $id = ++$self->{last_lease};
        my $ttl = $in->{ttl_ms} < 1000 ? 1000 : $in->{ttl_ms};
        $self->{leases}{$id} = { ttl => $ttl,
            expires => Loop::now() + $ttl / 1000 };
        return $self->answer($conn, 200, { lease => $id, ttl_ms => $ttl });
    }
    if ($path =~ m{^/kv-keep/(\d+)$}) {
        my $lease = $self->{leases}{$1};
        return $self->answer($conn, 404, {}) if !$lease;
        $lease->{expires} = Loop::now() + $lease->{ttl} / 1000;
        $self->{on_keep}->($conn->{machine}, $1) if $self->{on_keep};
        return $self->answer($conn, 200, { ttl_ms => $lease->{ttl} });
    }
    if ($path =~ m{^/kv-lease-end/(\d+)$}) {
        return $self->answer($conn, 404, {}) if !$self->{leases}{$1};
        $self->end_lease($1);
        return $self->answer($conn, 200, {});
    }
    $self->answer($conn, 404, {});
}

sub range {
    my ($self, $conn, $query) = @_;
    my $prefix = $query->{prefix} // '';
    my $after = $query->{after} // '';
    my @keys = sort grep { index($_, $prefix) == 0 && $_ gt $after }
        keys %{ $self->{items} };
    my $more = @keys > 500;
    splice(@keys, 500) if $more;
    $self->answer($conn, 200, {
        items => [ map { $self->{items}{$_} } @keys ],
        has_more => $more ? JSON::PP::true : JSON::PP::false,
        current_rev => $self->{rev} });
}

sub events_after {
    my ($self, $prefix, $after) = @_;
    return grep { $_->{revision} > $after && index($_->{key}, $prefix) == 0 }
        @{ $self->{history} };
}

sub watch {
    my ($self, $conn, $query) = @_;
    my $watch = { conn => $conn, prefix => $query->{prefix} // '',
        after => $query->{after} };
    my @events = $self->events_after($watch->{prefix}, $watch->{after});

    return $self->answer($conn, 200,
        { events => \@events, current_rev => $self->{rev} }) if @events;
    $watch->{timer} = Loop::after($query->{wait_ms} / 1000, sub {
        $watch->{done} = 1;
        $self->{watches} = [ grep { !$_->{done} } @{ $self->{watches} } ];
        $self->answer($conn, 200,
            { events => [], current_rev => $self->{rev} });
    });
    push @{ $self->{watches} }, $watch;
}

sub notify {
    my ($self) = @_;
    my @left;
    for my $watch (@{ $self->{watches} }) {
        next if $watch->{done} || $watch->{conn}{closed};
        my @events = $self->events_after($watch->{prefix}, $watch->{after});
        if (!@events) {
            push @left, $watch;
            next;
        }
        $watch->{done} = 1;
        Loop::cancel($watch->{timer});
        $self->answer($watch->{conn}, 200,
            { events => \@events, current_rev => $self->{rev} });
    }
    $self->{watches} = \@left;
}

sub set_item {
    my ($self, $key, $value, $lease) = @_;
    my $known = $self->{items}{$key};
    my $item = { key => $key, value => $value, revision => $self->{rev},
        created => $known ? $known->{created} : $self->{rev},
        lease => $lease || 0 };
    $self->{items}{$key} = $item;
    push @{ $self->{history} }, $item;
}

sub drop_item {
    my ($self, $key) = @_;
    return if !delete $self->{items}{$key};
    push @{ $self->{history} }, { key => $key, revision => $self->{rev},
        deleted => JSON::PP::true };
}

sub txn {
    my ($self, $conn, $in) = @_;
    for my $row (@{ $in->{expected_rev} || [] }) {
        my $item = $self->{items}{ $row->{key} };
        my $rev = $item ? $item->{revision} : 0;
        next if $rev == $row->{revision};
        return $self->answer($conn, 412, { items => [
            map { $self->{items}{ $_->{key} } || () }
                @{ $in->{expected_rev} } ] });
    }
    for my $put (@{ $in->{puts} || [] }) {
        return $self->answer($conn, 404, {})
            if $put->{lease} && !$self->{leases}{ $put->{lease} };
    }
    $self->{rev}++;
    $self->drop_item($_) for @{ $in->{remove} || [] };
    $self->set_item($_->{key}, $_->{value}, $_->{lease})
        for @{ $in->{puts} || [] };
    $self->{on_write}->($conn->{machine}, $in) if $self->{on_write};
    $self->answer($conn, 200, { revision => $self->{rev} });
    $self->notify;
}

# Writes a key as the operator or a database does.
sub put {
    my ($self, $key, $body) = @_;
    $self->{rev}++;
    my $value = MIME::Base64::encode_base64($json->encode($body), '');
    $self->set_item($key, $value, 0);
    $self->notify;
}

sub remove {
    my ($self, $key) = @_;
    $self->{rev}++;
    $self->drop_item($key);
    $self->notify;
}

sub value {
    my ($self, $key) = @_;
    my $item = $self->{items}{$key};
    return $item ? MIME::Base64::decode_base64($item->{value}) : undef;
}

sub end_lease {
    my ($self, $id) = @_;
    delete $self->{leases}{$id};
    my @keys = grep { $self->{items}{$_}{lease} == $id }
        sort keys %{ $self->{items} };
    return if !@keys;
    $self->{rev}++;
    $self->drop_item($_) for @keys;
    $self->notify;
}

sub expire {
    my ($self) = @_;
    my $now = Loop::now();
    for my $id (sort keys %{ $self->{leases} }) {
        $self->end_lease($id) if $self->{leases}{$id}{expires} <= $now;
    }
}

1;
