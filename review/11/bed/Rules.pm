# Checks of rules, from what clients and databases have seen.
package Rules;
use strict;
use warnings;

my $marks = 0;

# STALE on `primary` routes: reads that ran on a log without a commit that was
# acknowledged before their first byte was sent. Commits that a promote rolled
# back don't count.
#
# databases: a Databases; answers: of callers, as Caller gives them
sub stale_reads {
    my ($databases, $answers) = @_;
    my %run = map { ($_->{id} => $_) } @{ $databases->{runs} };
    my $mark = ++$marks;
    my @acknowledged;

    Databases::mark($databases->primary->{head}, $mark);

    for my $answer (grep { $_->{signature} && $_->{text} =~ /^(WRITE|COMMIT)/ }
        @$answers) {
        my $run = $run{ $answer->{id} } or next;
        my $commit = $run->{commit} or next;
        next if ($commit->{mark} // 0) != $mark;
        push @acknowledged, [ $answer->{got}, $commit, $answer ];
    }
    @acknowledged = sort { $a->[0] <=> $b->[0] } @acknowledged;
    my ($newest, $i, @stale) = (undef, 0);
    for my $answer (sort { $a->{sent} <=> $b->{sent} }
        grep { $_->{signature} && $_->{text} =~ /^READ/ } @$answers) {
        while ($i < @acknowledged && $acknowledged[$i][0] < $answer->{sent}) {
            my $next = $acknowledged[$i++];
            $newest = $next
                if !$newest || $next->[1]{depth} > $newest->[1]{depth};
        }
        my $run = $run{ $answer->{id} } or next;
        next if !$newest
            || Databases::shared($run->{head}, $mark) >= $newest->[1]{depth};
        push @stale, { read => $answer, run => $run,
            commit => $newest->[1], acknowledged => $newest->[0],
            write => $newest->[2] };
    }
    return @stale;
}

# ONE: writes that were committed at an old primary after a promote had taken
# effect, and acknowledged.
sub late_commits {
    my ($databases, $answers) = @_;
    my %run = map { ($_->{id} => $_) } @{ $databases->{runs} };
    my @late;

    for my $answer (grep { $_->{signature} } @$answers) {
        my $run = $run{ $answer->{id} } or next;
        my $commit = $run->{commit} or next;
        my ($promotion) = grep { $_->{at} < $commit->{at}
            && $_->{term} > $commit->{term} } @{ $databases->{promotions} };
        next if !$promotion;
        push @late, { write => $answer, commit => $commit,
            promotion => $promotion };
    }
    return @late;
}

# Acknowledged writes that the last primary's log does not have.
sub lost_commits {
    my ($databases, $answers) = @_;
    my %run = map { ($_->{id} => $_) } @{ $databases->{runs} };
    my $mark = ++$marks;

    Databases::mark($databases->primary->{head}, $mark);
    return grep {
        my $run = $run{ $_->{id} };
        $run && $run->{commit} && ($run->{commit}{mark} // 0) != $mark
    } grep { $_->{signature} } @$answers;
}

1;
