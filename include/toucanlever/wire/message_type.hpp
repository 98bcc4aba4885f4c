/// Types of messages on links between processes of the system.
#pragma once

#include "toucanlever/core/enum_names.hpp"

#include <cstdint>

namespace toucanlever
{

/// Values are sent on the wire: append only, never renumber.
enum class message_type : std::uint8_t
{
    ping = 1,
    pong = 2,
    reply_error = 3,
    state_request = 4,
    state_reply = 5,
    submit = 6,
    submit_reply = 7,
    job_query = 8,
    job_reply = 9,
    job_cancel = 10,
    claim = 11,
    claim_reply = 12,
    claim_result = 13,
    ack = 14,
    permit_request = 15,
    permit_reply = 16,
    task_event = 17,
    stop_task = 18,
    offer_jobs = 19,
    offer_reply = 20,
    operator_query = 21,
    operator_reply = 22,
    config_change = 23,
    capacity_request = 24,
    member_hello = 25,
    work_accepted = 26,
    work_cancelled = 27,
    work_query = 28,
    work_reply = 29,
    queue_query = 30,
    queue_reply = 31,
    advice_request = 32,
    advice_reply = 33,
    work_submit = 34,
    work_submit_reply = 35,
    relayed_start = 36,
    relayed_stop = 37,
    relayed_watch = 38,
    order_reply = 39,
    watch_reply = 40,
    member_list = 41,
    leader_query = 42,
    leader_reply = 43,
    configuration_query = 44,
    configuration_reply = 45,
    configuration_notice = 46
};

template <>
struct enum_table<message_type>
{
    using row = enum_name<message_type>;
    static constexpr std::array rows{row{message_type::ping, "ping"},
        row{message_type::pong, "pong"},
        row{message_type::reply_error, "reply-error"},
        row{message_type::state_request, "state-request"},
        row{message_type::state_reply, "state-reply"},
        row{message_type::submit, "submit"},
        row{message_type::submit_reply, "submit-reply"},
        row{message_type::job_query, "job-query"},
        row{message_type::job_reply, "job-reply"},
        row{message_type::job_cancel, "job-cancel"},
        row{message_type::claim, "claim"},
        row{message_type::claim_reply, "claim-reply"},
        row{message_type::claim_result, "claim-result"},
        row{message_type::ack, "ack"},
        row{message_type::permit_request, "permit-request"},
        row{message_type::permit_reply, "permit-reply"},
        row{message_type::task_event, "task-event"},
        row{message_type::stop_task, "stop-task"},
        row{message_type::offer_jobs, "offer-jobs"},
        row{message_type::offer_reply, "offer-reply"},
        row{message_type::operator_query, "operator-query"},
        row{message_type::operator_reply, "operator-reply"},
        row{message_type::config_change, "config-change"},
        row{message_type::capacity_request, "room-request"},
        row{message_type::member_hello, "member-hello"},
        row{message_type::work_accepted, "work-accepted"},
        row{message_type::work_cancelled, "work-cancelled"},
        row{message_type::work_query, "work-query"},
        row{message_type::work_reply, "work-reply"},
        row{message_type::queue_query, "queue-query"},
        row{message_type::queue_reply, "queue-reply"},
        row{message_type::advice_request, "advice-request"},
        row{message_type::advice_reply, "advice-reply"},
        row{message_type::work_submit, "work-submit"},
        row{message_type::work_submit_reply, "work-submit-reply"},
        row{message_type::relayed_start, "relayed-start"},
        row{message_type::relayed_stop, "relayed-stop"},
        row{message_type::relayed_watch, "relayed-watch"},
        row{message_type::order_reply, "order-reply"},
        row{message_type::watch_reply, "watch-reply"},
        row{message_type::member_list, "member-list"},
        row{message_type::leader_query, "leader-query"},
        row{message_type::leader_reply, "leader-reply"},
        row{message_type::configuration_query, "configuration-query"},
        row{message_type::configuration_reply, "configuration-reply"},
        row{message_type::configuration_notice, "configuration-notice"}};
};

} // namespace toucanlever
