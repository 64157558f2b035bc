# A session of a client, as PROTOCOL.md describes it.
package Client;

use strict;
use warnings;

use Time::HiRes qw(time);

use Loop;

my $last_id = 0;

# Called with the id and the text of each statement that is sent.
our $on_send = sub { };

# A new statement id; the prefix tells the sessions apart in the record.
sub new_id { return sprintf('c%07x%08x', $$, ++$last_id) }

# Opens a session. Calls back with it once it is READY, or with undef.
sub open_session {
	my ($port, $database, $callback) = @_;
	my $connection = Loop::connect_to($port);
	my $client = {connection => $connection, state => 'I', rows => []};

	if (!$connection) {
		Loop::after(0, sub { $callback->(undef) });
		return;
	}
	$client->{answered} = sub {
		my ($answer) = @_;

		$callback->($answer && !$answer->{error} ? $client : undef);
	};
	Loop::handle($connection,
		sub { received($client, $_[0]) },
		sub { lost($client) });
	Loop::send_text($connection, "STARTUP $database user\r\n");
}

sub received {
	my ($client, $line) = @_;
	my ($word, $rest) = split / /, $line, 2;

	if ($word eq 'DATAROW') {
		push @{$client->{rows}}, $rest;
	} elsif ($word eq 'COMPLETE') {
		$client->{complete} = $rest;
	} elsif ($word eq 'ERROR') {
		$client->{error} = $rest;
		# A rejected start-up is an error and a close without READY.
	} elsif ($word eq 'READY') {
		my ($state, $position) = split / /, $rest;

		$client->{state} = $state;
		answered($client, {
			rows => $client->{rows}, state => $state,
			complete => $client->{complete},
			error => $client->{error}, position => $position});
	}
}

sub answered {
	my ($client, $answer) = @_;
	my $callback = delete $client->{answered};

	$client->{rows} = [];
	delete $client->{complete};
	delete $client->{error};
	$callback->($answer) if $callback;
}

sub lost {
	my ($client) = @_;

	$client->{gone} = 1;
	answered($client, undef);
}

# Sends a statement. Calls back with the answer, or with undef if the connection
# ends before it is complete. Returns the id.
sub query {
	my ($client, $text, $callback) = @_;
	my $id = new_id();

	if ($client->{gone}) {
		Loop::after(0, sub { $callback->(undef) });
		return $id;
	}
	$client->{answered} = $callback;
	$on_send->($id, $text);
	Loop::send_text($client->{connection}, "QUERY $id $text\r\n");
	return $id;
}

sub close_session {
	my ($client) = @_;

	return if $client->{gone};
	$client->{gone} = 1;
	Loop::send_text($client->{connection}, "TERMINATE\r\n");
	Loop::close_now($client->{connection});
}

1;
