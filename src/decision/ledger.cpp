#include <ibishinge/decision/ledger.h>

#include <utility>

namespace ibishinge {

namespace {

ledger_step resultStep(ledger_result result, const std::optional<versioned_record> &found)
{
    return ledger_outcome {result, found};
}

ledger_step writeStep(const ledger_attempt &attempt, ledger_state state,
                      const std::optional<versioned_record> &found,
                      const std::optional<stored_response> &answer = {})
{
    const bool keep = answer && answer->body.size() <= maxStoredResponseBytes;
    return ledger_write {found ? found->modRevision : 0,
                         {state, attempt.id, attempt.bodyHash, keep ? answer : std::nullopt}};
}

ledger_step claimStep(const ledger_attempt &attempt, const std::optional<versioned_record> &found)
{
    if (!found) {
        return writeStep(attempt, ledger_state::claimed, found);
    }
    switch (found->record.state) {
    case ledger_state::claimed:
        return resultStep(found->record.attemptId == attempt.id ? ledger_result::claimed
                                                                : ledger_result::claimed_by_other,
                          found);
    case ledger_state::finished:
        return resultStep(ledger_result::already_finished, found);
    case ledger_state::released:
        break;
    }
    // This process may have been paused with the attempt in its queue, while another process
    // released the id and told the caller "not run".
    if (found->modRevision > attempt.revisionAtArrival) {
        return resultStep(ledger_result::superseded, found);
    }
    return writeStep(attempt, ledger_state::claimed, found);
}

ledger_step finishStep(const ledger_attempt &attempt, const std::optional<versioned_record> &found,
                       const std::optional<stored_response> &answer)
{
    if (!found || found->record.attemptId != attempt.id) {
        return resultStep(ledger_result::not_claimed, found);
    }
    switch (found->record.state) {
    case ledger_state::claimed:
        return writeStep(attempt, ledger_state::finished, found, answer);
    case ledger_state::finished:
        return resultStep(ledger_result::finished, found);
    case ledger_state::released:
        break;
    }
    return resultStep(ledger_result::not_claimed, found);
}

ledger_step releaseStep(const ledger_attempt &attempt, const std::optional<versioned_record> &found)
{
    if (!found) {
        return writeStep(attempt, ledger_state::released, found);
    }
    const bool own = found->record.attemptId == attempt.id;
    switch (found->record.state) {
    case ledger_state::claimed:
        return own ? writeStep(attempt, ledger_state::released, found)
                   : resultStep(ledger_result::claimed_by_other, found);
    case ledger_state::finished:
        return resultStep(ledger_result::already_finished, found);
    case ledger_state::released:
        break;
    }
    return own ? resultStep(ledger_result::released, found)
               : writeStep(attempt, ledger_state::released, found);
}

} // namespace

ledger_step nextStep(ledger_operation operation, const ledger_attempt &attempt,
                     const std::optional<versioned_record> &found,
                     const std::optional<stored_response> &answer)
{
    if (found && found->record.bodyHash != attempt.bodyHash) {
        return resultStep(ledger_result::duplicate_id, found);
    }
    switch (operation) {
    case ledger_operation::claim:
        return claimStep(attempt, found);
    case ledger_operation::finish:
        return finishStep(attempt, found, answer);
    case ledger_operation::release:
        break;
    }
    return releaseStep(attempt, found);
}

ledger_step nextStepAfterWrite(ledger_operation operation, const ledger_attempt &attempt,
                               const ledger_write &sent, ledger_write_outcome outcome,
                               std::int64_t revision,
                               const std::optional<versioned_record> &current)
{
    switch (outcome) {
    case ledger_write_outcome::applied:
        return nextStep(operation, attempt, versioned_record {revision, sent.record},
                        sent.record.answer);
    case ledger_write_outcome::rejected:
        return nextStep(operation, attempt, current, sent.record.answer);
    case ledger_write_outcome::unavailable:
    case ledger_write_outcome::uncertain:
        break;
    }
    return sent;
}

ledger_outcome deadlineOutcome(bool maybeSent)
{
    return {maybeSent ? ledger_result::outcome_unknown : ledger_result::unavailable, {}};
}

} // namespace ibishinge
