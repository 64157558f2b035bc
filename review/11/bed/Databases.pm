# The databases of one service: a primary and replicas, each on its own port.
package Databases;
use strict;
use warnings;

use constant {
    LAG_S => 0.008,        # a replica receives a commit after this time
    PROMOTE_S => 0.3,      # from the order to the promotion
    STEP_DOWN_S => 1.0,    # from a promotion until the old primary follows
    HEARTBEAT_S => 1.2,
    SLOTS => 3,
    QUEUE => 24,
    MAX_CONNS => 43,
    READ_S => 0.004,
    WRITE_S => 0.004,
};

# store: where the entries are written; log: for the record
# zones: the zone of each database, the first is the primary
sub new {
    my ($class, %options) = @_;
    my $self = bless { servers => [], runs => [], serial => 0, rolled_back => 0,
        promotions => [], %options }, $class;
    $self->{root} = { term => 1, number => 0, depth => 0 };
    $self->add_server($_, $self->{zones}[$_]) for 0 .. $#{ $self->{zones} };
    $self->{servers}[0]{primary} = 1;
    $self->report($_) for @{ $self->{servers} };
    Loop::every(HEARTBEAT_S, sub {
        $self->report($_)
            for grep { $_->{alive} && !$_->{silent} } @{ $self->{servers} };
    });
    Loop::every(LAG_S, sub { $self->ship });
    return $self;
}

sub add_server {
    my ($self, $index, $zone) = @_;
    my $server = { id => "i-$self->{name}-$index", zone => $zone, term => 1,
        head => $self->{root}, fence => 0, alive => 1, sequence => 0,
        born => int(Time::HiRes::time() * 1000) + $index, sessions => {},
        running => 0, queue => [], state => 'ready' };
    ($server->{port}) = Loop::listen_on(0, sub {
        $self->session($server, $_[0]);
    });
    push @{ $self->{servers} }, $server;
    return $server;
}

sub server {
    my ($self, $id) = @_;
    return (grep { $_->{id} eq $id } @{ $self->{servers} })[0];
}

# The primary of the highest term.
sub primary {
    my ($self) = @_;
    return (sort { $b->{term} <=> $a->{term} }
        grep { $_->{primary} && $_->{alive} } @{ $self->{servers} })[0];
}

sub report {
    my ($self, $server) = @_;
    $self->{store}->put("servers/$server->{id}", {
        service => $self->{name}, address => "127.0.0.1:$server->{port}",
        zone => $server->{zone}, version => 'v1', slots => SLOTS,
        state => $server->{state}, cold_remaining_ms => 0,
        db_role => $server->{primary} ? 'primary' : 'replica',
        sequence => ++$server->{sequence}, born => $server->{born} });
}

# Reports that the server will leave.
sub drain {
    my ($self, $server) = @_;
    $server->{state} = 'draining';
    $self->report($server);
}

# The server serves as usual again; used between two tries of a test.
sub undrain {
    my ($self, $server) = @_;
    $server->{state} = 'ready';
    $self->report($server);
}

sub ship {
    my ($self) = @_;
    my $primary = $self->primary or return;
    for my $server (@{ $self->{servers} }) {
        next if $server == $primary || !$server->{alive};
        next if $server->{fence} > $primary->{term};
        if ($server->{primary}) {
            next if Loop::now() < $server->{step_down_at};
            $self->become_replica($server);
        }
        $server->{term} = $primary->{term};
        $server->{head} = $primary->{head};
    }
}

sub become_replica {
    my ($self, $server) = @_;
    $server->{primary} = 0;
    $self->{log}->("database $server->{id} is a replica now");
    $self->report($server);
}

# Orders a promotion, as POST /promote does. Returns the status.
sub promote {
    my ($self, $id, $holder, $token) = @_;
    my $server = $self->server($id);
    return 409 if !$server || !$server->{alive};
    $self->{log}->("promote of $id ordered by $holder, token $token");
    return 200 if $self->primary && $self->primary == $server;
    Loop::after(PROMOTE_S, sub {
        my $old = $self->primary;
        return if !$server->{alive} || ($old && $old == $server);
        $server->{term} = ($old ? $old->{term} : $server->{term}) + 1;
        $server->{primary} = 1;
        $_->{fence} = 0 for @{ $self->{servers} };
        $old->{step_down_at} = Loop::now() + STEP_DOWN_S if $old;
        push @{ $self->{promotions} }, { at => Loop::now(), server => $server,
            head => $server->{head}, term => $server->{term} };
        $self->{log}->("promote of $id has taken effect, term $server->{term}"
            . ', log ends at ' . point($server->{head}));
        $self->report($server);
    });
    return 200;
}

sub point { return "$_[0]{term}.$_[0]{number}" }

sub lacks {
    my ($head, $term, $number) = @_;
    return $head->{term} < $term
        || ($head->{term} == $term && $head->{number} < $number);
}

# Returns the data of an item in a log, or undef.
sub lookup {
    my ($head, $item) = @_;
    for (my $at = $head; $at; $at = $at->{parent}) {
        return $at->{writes}{$item}
            if $at->{writes} && exists $at->{writes}{$item};
    }
    return undef;
}

# Marks the commits of a log, so that shared() can be asked.
sub mark {
    my ($head, $mark) = @_;
    for (my $at = $head; $at; $at = $at->{parent}) { $at->{mark} = $mark }
}

# Returns how many commits a log has in common with the marked one.
sub shared {
    my ($head, $mark) = @_;
    my $at = $head;
    $at = $at->{parent} while $at && ($at->{mark} // 0) != $mark;
    return $at ? $at->{depth} : 0;
}

sub session {
    my ($self, $server, $conn) = @_;
    my $session = { conn => $conn, server => $server, values => {},
        prepared => {} };
    $conn->{on_data} = sub { $self->process($session) };
    $conn->{on_end} = sub {
        delete $server->{sessions}{$session} if $session->{started};
        $session->{ended} = 1;
    };
}

sub process {
    my ($self, $session) = @_;
    while (!$session->{busy} && !$session->{ended}
        && defined(my $line = $session->{conn}->line)) {
        if (!$session->{started}) {
            $self->startup($session, $line);
        } elsif ($line =~ /^QUERY (\S+) (.*)$/s) {
            $self->query($session, $1, $2);
        } else {
            $session->{conn}->close;
            delete $session->{server}{sessions}{$session};
            $session->{ended} = 1;
        }
    }
}

sub refuse_startup {
    my ($session, $code) = @_;
    $session->{conn}->put("ERROR $code $session->{server}{id}\r\n");
    $session->{conn}->close;
    $session->{ended} = 1;
}

sub startup {
    my ($self, $session, $line) = @_;
    my $server = $session->{server};
    my (undef, $service, undef, $id) = split / /, $line;
    return refuse_startup($session, 'WRONGNODE')
        if $service ne $self->{name} || (defined $id && $id ne $server->{id});
    return refuse_startup($session, 'TOOMANY')
        if keys %{ $server->{sessions} } >= MAX_CONNS;
    $session->{started} = 1;
    $server->{sessions}{$session} = $session;
    ready($session);
}

sub ready {
    my ($session) = @_;
    my $state = $session->{failed} ? 'E' : $session->{open} ? 'T' : 'I';
    $session->{conn}->put(
        "READY $state " . point($session->{server}{head}) . "\r\n");
}

sub complete {
    my ($session, $signature, @rows) = @_;
    $session->{conn}->put(join('', map { "DATAROW $_\r\n" } @rows)
        . "COMPLETE $signature\r\n");
    ready($session);
}

sub failure {
    my ($session, $code) = @_;
    $session->{failed} = 1 if $session->{open};
    $session->{conn}->put("ERROR $code $session->{server}{id}\r\n");
    ready($session);
}

sub end_transaction {
    my ($session) = @_;
    delete @{$session}{qw(open failed read_only writes ids)};
}

sub control {
    my ($self, $session, $text) = @_;
    my $server = $session->{server};
    my ($word, $term) = split / /, $text;
    my $newest = (sort { $b <=> $a }
        map { $_->{term} } @{ $self->{servers} })[0];

    if ($word eq 'PAUSE') {
        $server->{fence} = $term if !$server->{primary} && $term > $newest;
    } elsif ($word eq 'RESUME') {
        $server->{fence} = 0;
    } elsif ($word eq 'STEPDOWN') {
        $self->become_replica($server)
            if $server->{primary} && $term > $server->{term};
    } elsif ($word ne 'STATUS') {
        return failure($session, 'MALFORMED');
    }
    complete($session, '-', join ' ', $server->{primary} ? 'primary' : 'replica',
        $server->{term}, point($server->{head}), $server->{fence}, 0,
        $server->{running}, scalar keys %{ $server->{sessions} });
}

sub query {
    my ($self, $session, $id, $text) = @_;
    my $server = $session->{server};
    my $plain = $text;

    if ($text =~ /^AFTER (\d+)\.(\d+) (.*)$/s) {
        $plain = $3;
        return failure($session, 'LAGGING') if lacks($server->{head}, $1, $2);
    }
    my ($word) = split / /, $plain;
    if ($session->{failed} && $word ne 'COMMIT' && $word ne 'ROLLBACK') {
        return failure($session, 'MALFORMED');
    }
    if ($plain eq 'BEGIN' || $plain eq 'BEGIN READ') {
        return failure($session, 'READONLY')
            if $plain eq 'BEGIN' && !$server->{primary};
        $session->{open} = 1;
        $session->{read_only} = $plain eq 'BEGIN READ';
        $session->{term} = $server->{term};
        $session->{writes} = {};
        $session->{ids} = [];
        return complete($session, '-');
    }
    if ($plain eq 'ROLLBACK') {
        end_transaction($session);
        return complete($session, '-');
    }
    if ($plain eq 'RESET') {
        $session->{values} = {};
        $session->{prepared} = {};
        return complete($session, '-');
    }
    if ($plain =~ /^SET (\S+) (.*)$/s) {
        $session->{values}{$1} = $2;
        return complete($session, '-');
    }
    if ($plain =~ /^PREPARE (\S+) (READ|WRITE) (.*)$/s) {
        $session->{prepared}{$1} = [ $2, $3 ];
        return complete($session, '-');
    }
    if ($plain =~ /^CLOSE (\S+)$/) {
        return failure($session, 'UNKNOWN') if !delete $session->{prepared}{$1};
        return complete($session, '-');
    }
    return $self->control($session, $plain)
        if $plain !~ /^(?:READ|WRITE|EXECUTE|COMMIT)\b/;
    $self->enqueue($session, $id, $plain);
}

# Reads, writes and commits take a slot each.
sub enqueue {
    my ($self, $session, $id, $text) = @_;
    my $server = $session->{server};
    if (@{ $server->{queue} } >= QUEUE) {
        $session->{conn}->put("ERROR BUSY $server->{id}\r\n");
        return ready($session);
    }
    $session->{busy} = 1;
    push @{ $server->{queue} }, [ $session, $id, $text ];
    $self->start_next($server);
}

sub start_next {
    my ($self, $server) = @_;
    while ($server->{running} < SLOTS && @{ $server->{queue} }) {
        my ($session, $id, $text) = @{ shift @{ $server->{queue} } };
        next if $session->{ended};
        $server->{running}++;
        Loop::after($text =~ /^READ/ ? READ_S : WRITE_S, sub {
            $server->{running}--;
            if (!$session->{ended}) {
                $session->{busy} = 0;
                $self->execute($session, $id, $text);
                $self->process($session);
            }
            $self->start_next($server);
        });
    }
}

sub note_run {
    my ($self, $session, $id, $text, %more) = @_;
    my $run = { id => $id, text => $text, server => $session->{server},
        at => Loop::now(), head => $session->{server}{head},
        signature => 's' . ++$self->{serial}, %more };
    push @{ $self->{runs} }, $run;
    return $run;
}

sub append_commit {
    my ($self, $session, $writes, @ids) = @_;
    my $server = $session->{server};
    my $head = $server->{head};
    my $commit = { term => $server->{term}, number => $head->{number} + 1,
        depth => $head->{depth} + 1, parent => $head, writes => $writes,
        at => Loop::now(), server => $server, ids => [@ids] };
    $server->{head} = $commit;
    return $commit;
}

sub execute {
    my ($self, $session, $id, $text) = @_;
    my $server = $session->{server};

    if ($session->{open} && !$session->{read_only}
        && (!$server->{primary} || $server->{term} != $session->{term})
        && !($text eq 'COMMIT' && !%{ $session->{writes} })) {
        end_transaction($session) if $text eq 'COMMIT';
        return failure($session, 'READONLY');
    }
    if ($text =~ /^EXECUTE (\S+) (.*)$/s) {
        my $prepared = $session->{prepared}{$1};
        return failure($session, 'UNKNOWN') if !$prepared;
        $text = "$prepared->[0] $2";
    }
    if ($text eq 'COMMIT') {
        return failure($session, 'MALFORMED') if !$session->{open};
        if ($session->{failed}) {
            end_transaction($session);
            return failure($session, 'ABORTED');
        }
        my $commit = %{ $session->{writes} }
            ? $self->append_commit($session, $session->{writes}, $id,
                @{ $session->{ids} })
            : undef;
        my $run = $self->note_run($session, $id, $text, commit => $commit);
        end_transaction($session);
        return complete($session, $run->{signature});
    }
    if ($text =~ /^READ (\S+)/) {
        my $item = $1;
        my $data = $session->{writes} && exists $session->{writes}{$item}
            ? $session->{writes}{$item} : lookup($server->{head}, $item);
        my $run = $self->note_run($session, $id, $text,
            open => $session->{open});
        return complete($session, $run->{signature}, $data // '-');
    }
    if ($text =~ /^WRITE (\S+) (.*)$/s) {
        my ($item, $data) = ($1, $2);
        return failure($session, 'READONLY')
            if !$server->{primary} || $session->{read_only};
        if ($session->{open}) {
            $session->{writes}{$item} = $data;
            push @{ $session->{ids} }, $id;
            my $run = $self->note_run($session, $id, $text, open => 1);
            return complete($session, $run->{signature});
        }
        my $commit = $self->append_commit($session, { $item => $data }, $id);
        my $run = $self->note_run($session, $id, $text, commit => $commit);
        return complete($session, $run->{signature});
    }
    failure($session, 'MALFORMED');
}

1;
