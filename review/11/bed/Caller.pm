# A client's session with a node.
package Caller;
use strict;
use warnings;

my $serial = 0;

# Connects to a node and starts a session.
#
# ready: called once with this caller; ended: called when the connection ends
sub new {
    my ($class, %options) = @_;
    my $self = bless { %options }, $class;
    my $conn = Loop::connect_to($self->{port});
    $self->{conn} = $conn;
    $conn->{on_data} = sub { $self->messages };
    $conn->{on_end} = sub {
        my $ended = delete $self->{ended};
        my $done = delete $self->{done};
        $done->({ lost => 1, %{ $self->{query} } }) if $done;
        $ended->($self) if $ended;
    };
    $conn->put("STARTUP $self->{database} u\r\n");
    return $self;
}

sub close {
    my ($self) = @_;
    delete @{$self}{qw(ended done)};
    $self->{conn}->close;
}

# Sends a statement. $done gets { id, text, sent, got, rows, error, signature,
# state, lost }.
sub query {
    my ($self, $text, $done) = @_;
    my $id = sprintf '%08x%08x', $$, ++$serial;
    $self->{query} = { id => $id, text => $text, sent => Loop::now(),
        node => $self->{node}, rows => [] };
    $self->{done} = $done;
    $self->{conn}->put("QUERY $id $text\r\n");
    return $id;
}

sub messages {
    my ($self) = @_;
    while (defined(my $line = $self->{conn}->line)) {
        if ($line =~ /^READY (\S) (\S+)/) {
            my $done = delete $self->{done};
            my $ready = delete $self->{ready};
            $self->{query}{state} = $1;
            $self->{query}{got} = Loop::now();
            if ($ready) {
                $ready->($self);
            } elsif ($done) {
                $done->($self->{query});
            }
        } elsif ($line =~ /^DATAROW (.*)$/s) {
            push @{ $self->{query}{rows} }, $1;
        } elsif ($line =~ /^COMPLETE (\S+)/) {
            $self->{query}{signature} = $1;
        } elsif ($line =~ /^ERROR (\S+) ?(.*)$/s) {
            $self->{query}{error} = $1;
        }
        return if $self->{conn}{closed};
    }
}

1;
