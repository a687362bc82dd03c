#include <ibishinge/state/request_ledger.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/state/ledger_record.h>

#include <algorithm>
#include <utility>

namespace ibishinge {

std::unique_ptr<request_ledger> request_ledger::create(group_committer &committer, kv_store &store,
                                                       const clock_source &clock,
                                                       const ledger_options &options)
{
    return std::unique_ptr<request_ledger>(new request_ledger(committer, store, clock, options));
}

request_ledger::request_ledger(group_committer &committer, kv_store &store,
                               const clock_source &clock, const ledger_options &options)
    : m_committer(committer)
    , m_store(store)
    , m_clock(clock)
    , m_options(options)
{
}

ledger_outcome request_ledger::claim(request_attempt &attempt, monotonic_time deadline)
{
    auto outcome = run(ledger_operation::claim, attempt, {}, deadline);
    // After a pause of the process the response may be old: the retention time of the claim is only
    // certain to cover dispatches before the deadline.
    if (outcome.result == ledger_result::claimed && m_clock.now() >= deadline) {
        outcome.result = ledger_result::outcome_unknown;
    }
    return outcome;
}

ledger_outcome request_ledger::finish(request_attempt &attempt,
                                      const std::optional<stored_response> &answer,
                                      monotonic_time deadline)
{
    return run(ledger_operation::finish, attempt, answer, deadline);
}

void request_ledger::finishLater(const request_attempt &attempt,
                                 const std::optional<stored_response> &answer)
{
    const ledger_step step =
        nextStep(ledger_operation::finish, attempt.attempt, attempt.known, answer);
    const auto *write = std::get_if<ledger_write>(&step);
    // The claim's lease is current or was until a moment ago, so this does not wait as a rule.
    const auto lease = leaseUntil(m_clock.now() + m_options.grantPause);
    if (write == nullptr || !lease) {
        return;
    }
    const auto posted = m_committer.post({ledgerKey(attempt.team, attempt.requestId),
                                          write->expectedRevision,
                                          {},
                                          encodeLedgerRecord(write->record),
                                          *lease});
    if (!posted) {
        logEvent(log_level::warning, "ledger_finish_dropped",
                 {{"reason", describe(posted.error())}});
    }
}

bool request_ledger::isStoreFailing() const
{
    return m_committer.isFailing();
}

ledger_outcome request_ledger::release(request_attempt &attempt, monotonic_time deadline)
{
    return run(ledger_operation::release, attempt, {}, deadline);
}

void request_ledger::noteRevision(store_revision revision) noexcept
{
    store_revision seen = m_notedRevision;
    while (seen < revision && !m_notedRevision.compare_exchange_weak(seen, revision)) { }
}

store_revision request_ledger::seenRevision() const noexcept
{
    return std::max(m_notedRevision.load(), m_committer.seenRevision());
}

ledger_outcome request_ledger::run(ledger_operation intent, request_attempt &attempt,
                                   const std::optional<stored_response> &answer,
                                   monotonic_time deadline)
{
    const std::string key = ledgerKey(attempt.team, attempt.requestId);
    ledger_step step = nextStep(intent, attempt.attempt, attempt.known, answer);
    bool maybeSent = false;
    while (const auto *write = std::get_if<ledger_write>(&step)) {
        const auto lease = leaseUntil(deadline);
        if (!lease || m_clock.now() >= deadline) {
            return deadlineOutcome(maybeSent);
        }
        const auto outcome = m_committer.submit(
            {key, write->expectedRevision, {}, encodeLedgerRecord(write->record), *lease},
            deadline);
        if (!outcome && outcome.error().kind == error_kind::unknown_entity) {
            // The store has lost this lease or that of another write of the batch; it rejects the
            // whole batch for either.
            dropLease(*lease);
            continue;
        }
        if (!outcome) {
            // The committer has repeated the write until the deadline.
            maybeSent = maybeSent || outcome.error().kind == error_kind::outcome_unknown;
            return deadlineOutcome(maybeSent);
        }
        if (outcome->applied) {
            attempt.known = versioned_record {outcome->modRevision, write->record};
            step = nextStepAfterWrite(intent, attempt.attempt, *write,
                                      ledger_write_outcome::applied, outcome->modRevision, {});
            continue;
        }
        const store_revision present = outcome->current ? outcome->current->modRevision : 0;
        std::optional<versioned_record> current;
        if (outcome->current) {
            auto record = decodeLedgerRecord(key, outcome->current->value);
            if (!record) {
                logEvent(log_level::error, "ledger_record_unreadable",
                         {{"error", describe(record.error())}});
                return {ledger_result::outcome_unknown, {}};
            }
            current = versioned_record {present, std::move(*record)};
        }
        attempt.known = current;
        // An earlier send that is still under way cannot be applied any more: its revision is gone.
        maybeSent = false;
        step = nextStepAfterWrite(intent, attempt.attempt, *write, ledger_write_outcome::rejected,
                                  0, current);
    }
    return std::get<ledger_outcome>(step);
}

bool request_ledger::leaseIsCurrent() const
{
    return m_lease.id != 0 && m_clock.now() - m_lease.grantedAt < m_options.leasePeriod;
}

std::optional<lease_id> request_ledger::leaseUntil(monotonic_time deadline)
{
    std::unique_lock lock(m_mutex);
    while (!leaseIsCurrent()) {
        const auto now = m_clock.now();
        if (now >= deadline) {
            return std::nullopt;
        }
        if (m_granting || now < m_nextGrant) {
            const auto until = m_granting ? deadline : std::min(deadline, m_nextGrant);
            m_leaseChanged.wait_for(lock, until - now);
            continue;
        }
        m_granting = true;
        lock.unlock();
        // Measured from before the call, so that the lease never ends earlier than assumed.
        const auto granted = m_store.grantLease(m_options.retention + m_options.leasePeriod);
        lock.lock();
        m_granting = false;
        if (granted) {
            m_lease = {*granted, now};
        } else {
            m_nextGrant = m_clock.now() + m_options.grantPause;
        }
        m_leaseChanged.notify_all();
    }
    return m_lease.id;
}

void request_ledger::dropLease(lease_id lease)
{
    const std::lock_guard lock(m_mutex);
    if (m_lease.id == lease) {
        m_lease.id = 0;
        m_nextGrant = m_clock.now() + m_options.grantPause;
    }
}

} // namespace ibishinge
