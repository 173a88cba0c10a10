//! The tests of one entry VM again, with a VM that reaches backend servers only through another
//! entry VM. What callers and backend servers see must not depend on the way.

use super::harness::run_cut_off;

/// Declares a module of tests that repeat those of another module.
macro_rules! repeat {
    ($($module:ident: $($test:ident)*;)*) => {
        $(
            mod $module {
                $(
                    #[test]
                    fn $test() {
                        super::run_cut_off(super::super::$module::$test);
                    }
                )*
            }
        )*
    };
}

repeat! {
    answers:
        an_answer_reaches_its_caller_unchanged
        a_read_with_a_broken_answer_is_sent_to_another_backend_server
        a_body_that_ends_with_its_connection_is_whole_after_an_orderly_close
        an_answer_to_another_request_is_skipped
        chunks_are_joined_and_long_answers_are_relayed_whole
        a_failed_booking_is_answered_with_the_backend_servers_error;
    endless:
        a_long_answer_ends_when_the_time_of_its_request_is_up
        an_answer_that_cannot_be_passed_on_ends_before_the_time_is_up;
    at_most_once:
        a_booking_whose_answer_is_lost_is_neither_resent_nor_reported_as_not_run
        a_booking_that_was_not_run_goes_to_another_backend_server
        a_booking_that_ran_nowhere_is_refused_with_a_retry_delay
        a_read_that_two_backend_servers_refuse_is_reported_as_not_run
        without_a_backend_server_requests_are_refused_at_once
        an_operators_older_configuration_changes_nothing
        a_leaving_backend_server_gets_no_new_work
        an_evacuated_zone_gets_nothing;
    bodies:
        a_body_in_chunks_arrives_whole
        a_body_in_chunks_that_passes_the_limit_is_refused
        a_long_body_is_relayed_whole_and_the_connection_stays_open
        an_early_answer_is_delivered_and_its_connection_is_not_used_again
        a_truncated_body_does_not_run;
    callers:
        pipelined_requests_run_concurrently_and_are_answered_in_order
        a_read_is_cancelled_when_its_caller_disconnects
        a_booking_continues_when_its_caller_disconnects
        a_booking_is_not_resent_after_its_caller_disconnects
        malformed_requests_are_refused_and_their_connections_closed
        requests_without_a_host_an_id_or_a_route_are_refused_and_the_connection_stays_open
        a_connection_is_closed_after_the_answer_if_the_caller_asks_for_it
        the_connection_of_an_abandoned_send_is_reset
        a_caller_that_pauses_while_it_reads_gets_its_answers;
    statuses:
        a_status_that_is_none_is_no_answer
        a_read_with_an_invalid_status_is_sent_to_another_backend_server
        an_invalid_status_with_another_id_is_skipped
        interim_answers_are_skipped;
    stop:
        a_planned_stop_answers_running_requests_and_closes_their_connections
        late_in_a_planned_stop_requests_are_refused_and_nothing_is_sent
        a_planned_stop_waits_until_callers_have_their_answers
        at_the_end_of_a_planned_stop_each_caller_gets_an_answer;
    pauses:
        a_backend_server_that_asks_for_a_pause_gets_no_requests_meanwhile
        pauses_hold_where_all_backend_servers_ask_for_them
        a_backend_server_is_used_again_after_its_pause
        a_pause_outlasts_a_removed_entry
        invalid_pauses_are_ignored
        refused_callers_are_told_to_come_back_when_the_pause_is_over
        a_backend_server_that_starts_again_is_not_paused
        a_time_to_wait_in_a_success_asks_for_no_pause;
    leaving:
        a_backend_server_whose_answer_says_that_it_leaves_gets_no_more_requests
        other_values_do_not_take_a_backend_server_out_of_use
        a_backend_server_that_starts_again_no_longer_leaves
        a_refusal_that_says_so_counts_too
        an_answer_that_arrives_without_an_entry_counts_when_the_entry_returns
        an_entry_that_said_so_is_not_taken_back_by_an_older_one
        a_cold_backend_server_stays_so_when_the_store_returns_from_a_copy;
    rate_limits:
        a_vm_keeps_to_the_rate_that_a_backend_server_states
        several_vms_together_keep_to_the_rate_that_a_backend_server_states
        a_rate_that_is_no_longer_stated_no_longer_limits
        invalid_rates_do_not_limit
        a_stated_rate_outlasts_a_removed_entry
        requests_beyond_the_rate_of_all_backend_servers_are_refused_at_once
        requests_beyond_the_rates_of_a_region_run_in_another_region
        a_rate_that_a_refusal_states_counts_too
        a_backend_server_that_starts_again_has_no_stated_rate
        a_vm_that_starts_later_learns_of_a_rate_from_its_first_answer;
    restart:
        open_requests_end_when_the_next_run_is_listed
        an_entry_of_an_earlier_start_changes_nothing
        a_request_of_an_old_run_frees_no_slot_of_the_next
        a_request_that_crashes_three_runs_of_one_backend_server_is_refused;
    customers:
        unidentified_callers_are_refused_at_once
        a_refused_request_keeps_its_place_in_the_pipeline
        a_temporary_refusal_cuts_off_no_pipelined_request
        only_the_gateway_names_the_customer_to_backend_servers
        trailers_do_not_name_the_customer
        a_public_route_needs_no_key
        a_vm_without_current_keys_rejects_no_key
        a_revoked_key_allows_no_resend
        a_resend_names_the_new_holder_of_the_key
        the_regions_of_route_and_customer_both_apply
        a_customer_whose_home_is_lost_is_refused_at_once
        the_shares_of_home_regions_follow_from_quotas
        a_vm_without_reports_leaves_other_vms_their_share
        conflicting_customers_are_refused
        a_customers_rank_overrides_its_routes;
}
