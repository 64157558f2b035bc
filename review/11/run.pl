# A takeover that does not wait for nodes which may still use the old primary.
use strict;
use warnings;
use Cwd ();
use Loop;
use Store;
use Databases;
use Caller;
use Nodes;
use Rules;

use constant {
    TRIES => 4,            # planned replacements of the primary
    RESTART_S => 0.5,      # a killed process starts again after this time
    SETTLE_S => 5,         # calm before each replacement
    TURNED_AWAY_S => 9,    # the site files' platform_down "nodes" takes 9 s
    ITEMS => 4,
    RUN_S => 110,
};

my $trouble = ($ENV{TROUBLE} // 1) ne '0';
my $kill = $trouble && ($ENV{KILL} // 1) ne '0';
my $start = Loop::now();
open my $record, '>', 'record.txt' or die "record.txt: $!";
$record->autoflush(1);

sub note {
    printf $record "%8.3f  %s\n", Loop::now() - $start, $_[0];
}

my %machines = ('a-1' => 'z-a', 'a-2' => 'z-a', 'b-1' => 'z-b', 'b-2' => 'z-b',
    'c-1' => 'z-c', 'c-2' => 'z-c');
my $root = Cwd::abs_path('../..');
my $databases;
my $store = Store->new(promote => sub {
    my ($service, $id, @rest) = @_;
    return $databases->promote($id, @rest);
});
$databases = Databases->new(name => 'orders', store => $store, log => \&note,
    zones => [ 'z-a', 'z-b', 'z-c' ]);
$store->put('op/config', { version => 1,
    routes => [ { name => 'r-1', database => 'booking', service => 'orders',
        route_type => 'primary', timeout_ms => 1000, priority => 1,
        target_latency_ms => 600 } ],
    services => [ { name => 'orders', max_conns => Databases::MAX_CONNS,
        sync_replicas => 0 } ],
    limits => { tx_idle_ms => 3000 } });
my $nodes = Nodes->new(root => $root, store => $store,
    machines => \%machines);

sub finish {
    my ($status, $text) = @_;
    note($text);
    print "$text\n";
    $nodes->stop_all;
    $nodes->keep_logs($ENV{KEEP_LOGS}) if $ENV{KEEP_LOGS};
    close $record;
    exit $status;
}

$SIG{$_} = sub { finish(2, "stopped by SIG$_[0]") } for qw(INT TERM);
$SIG{PIPE} = 'IGNORE';

# Clients: each node has one that writes and one that reads, one statement
# after the other.
my (@answers, $stopping);
my $writes = 0;

sub call {
    my ($name, $next) = @_;
    return if $stopping;
    my $caller;
    my $again = sub {
        Loop::after(0.2, sub { call($name, $next) });
    };
    $caller = Caller->new(node => $name,
        port => $nodes->{nodes}{$name}{port}, database => 'booking',
        ready => sub { send_next($caller, $next) }, ended => $again);
}

sub send_next {
    my ($caller, $next) = @_;
    return if $stopping;
    $caller->query($next->(), sub {
        my ($answer) = @_;
        push @answers, $answer;
        return if $answer->{lost};
        my $pause = $answer->{error} ? 0.05 : 0.008;
        Loop::after($pause, sub { send_next($caller, $next) });
    });
}

sub start_clients {
    my ($name) = @_;
    call($name, sub { 'WRITE k' . ++$writes % ITEMS . " v$writes-$name" });
    call($name, sub { 'READ k' . int rand ITEMS });
}

# The machines of a zone: not that of the node that orders promotions, which
# would order none if the store turned it away.
sub choose_machines {
    my $holder = $store->value('toucanhook/primaries/duty') // '';
    my $zone = $machines{$holder} // '';
    ($zone) = grep { $_ ne $zone } 'z-b', 'z-c', 'z-a';
    return grep { $machines{$_} eq $zone } sort keys %machines;
}

sub replace_primary {
    my ($try, @away) = @_;
    my $primary = $databases->primary;
    my $before = @{ $databases->{promotions} };

    $store->{on_write} = sub {
        my ($machine, $in) = @_;
        return if !grep { $_->{key} =~ m{/primaries/service/} }
            @{ $in->{puts} || [] };
        $store->{on_write} = undef;
        note("$machine has begun to replace the primary");
        return if !$trouble;
        note("the store turns @away away");
        $store->turn_away($_, 1) for @away;
        Loop::after(TURNED_AWAY_S, sub {
            $store->turn_away($_, 0) for @away;
            note("the store serves @away again");
        });
    };
    note("try $try: primary $primary->{id} is draining");
    $databases->drain($primary);
    Loop::wait_for(8, sub { @{ $databases->{promotions} } > $before })
        or note('no promotion');
    Loop::run(Loop::now() + TURNED_AWAY_S + 0.5);
    $databases->undrain($primary);
}

$nodes->start($_) for $nodes->names;
$nodes->wait_ready(20) or finish(2, 'the nodes did not become ready');
note('all nodes are ready');
Loop::run(Loop::now() + SETTLE_S);
start_clients($_) for $nodes->names;

for my $try (1 .. TRIES) {
    last if Loop::now() - $start > RUN_S - 22;
    Loop::run(Loop::now() + 1);
    my @chosen = choose_machines();
    if ($kill) {
        note("@chosen are killed");
        $nodes->kill_node($_) for @chosen;
        Loop::run(Loop::now() + RESTART_S);
        $nodes->start($_) for @chosen;
        $nodes->wait_ready(15) or finish(2, 'nodes did not become ready');
        note('all nodes are ready again');
    }
    Loop::run(Loop::now() + SETTLE_S);
    replace_primary($try, @chosen);
    my @ends = $nodes->reap;
    finish(1, "a process ended by itself: @ends") if @ends;
    last if Rules::late_commits($databases, \@answers)
        || Rules::stale_reads($databases, \@answers);
}
$stopping = 1;
Loop::run(Loop::now() + 1.5);

my @stale = Rules::stale_reads($databases, \@answers);
my @late = Rules::late_commits($databases, \@answers);
my @gone = Rules::lost_commits($databases, \@answers);
my $served = grep { $_->{signature} } @answers;
note(sprintf '%d statements sent, %d served, %d promotions', scalar @answers,
    $served, scalar @{ $databases->{promotions} });
note(scalar(@gone) . ' acknowledged writes are not in the log of the last'
    . ' primary');
for my $found (@late) {
    note(sprintf 'write %s sent to %s at %.3f, committed as %s at %s at %.3f,'
        . ' %.0f ms after %s was promoted, acknowledged at %.3f',
        $found->{write}{id}, $found->{write}{node},
        $found->{write}{sent} - $start, Databases::point($found->{commit}),
        $found->{commit}{server}{id}, $found->{commit}{at} - $start,
        1000 * ($found->{commit}{at} - $found->{promotion}{at}),
        $found->{promotion}{server}{id}, $found->{write}{got} - $start);
}
for my $found (@stale) {
    note(sprintf 'read %s (%s) sent to %s at %.3f, run by %s on a log that ends'
        . ' at %s, answered "%s"; commit %s of %s was acknowledged by %s at'
        . ' %.3f, %.0f ms before the read',
        $found->{read}{id}, $found->{read}{text}, $found->{read}{node},
        $found->{read}{sent} - $start, $found->{run}{server}{id},
        Databases::point($found->{run}{head}), "@{ $found->{read}{rows} }",
        Databases::point($found->{commit}), $found->{commit}{server}{id},
        $found->{write}{node}, $found->{acknowledged} - $start,
        1000 * ($found->{read}{sent} - $found->{acknowledged}));
}
finish(2, 'too little was served') if $served < 1000
    || !@{ $databases->{promotions} };
finish(1, sprintf 'STALE broken by %d reads, ONE by %d writes', scalar @stale,
    scalar @late) if @stale || @late;
finish(0, 'STALE and ONE held');
