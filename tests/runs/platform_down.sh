# The platform's API is down, slow or loses answers, before, during and after
# writes of the ledger.
echo "before: $(send_note 1 a1 | print_outcome)"
rig_set_switches platform 0 down=1
sleep 0.3
echo "not idempotent, outage: $(send_note 1 a2 | print_outcome)"
sleep 2
echo "later: $(send_note 2 a3 | print_outcome)"
echo "model request: $(send_prompt 3 -d "$(print_prompt_body "m1 x" 4)" -H 'Idempotency-Key: m1' | print_outcome)"
echo "idempotent read: $(curl -s -m 20 -w '\n%{http_code}' "http://$(rig_caller 2)/records/r" | print_outcome)"
echo "without an id: $(curl -s -m 20 -w '\n%{http_code}' -X POST -d x "http://$(rig_caller 2)/records/r" | print_outcome)"
rig_set_switches platform 0 down=0
is_served() { [ "$(send_note 1 a4 | print_outcome)" = 200 ]; }
rig_wait_until 10 is_served && echo "after: 200"
echo "refused before, retried: $(send_note 2 a2 | print_outcome)"
echo "answered before, retried: $(send_note 3 a1 | print_outcome)"
echo "== the platform's answers are lost after the writes"
rig_set_switches platform 0 lose=3
echo "with lost answers: $(send_note 1 a5 | print_outcome)"
echo "== slow"
rig_set_switches platform 0 slow_ms=300
echo "slow platform: $(send_note 2 a6 | print_outcome)"
rig_set_switches platform 0 slow_ms=0
echo "== the service's answer is lost after it has run"
rig_set_switches service 1 cut=1
echo "first attempt: $(send_note 1 a7 | print_outcome)"
echo "retry: $(send_note 2 a7 | print_outcome)"
echo "== an outage, then the owner is killed"
rig_set_switches platform 0 down=1
owner=$(rig_owner records 1)
rig_kill "$owner" KILL
other=$([ "$owner" = d1 ] && echo 2 || echo 1)
sleep 1
rig_set_switches platform 0 down=0
has_new_owner() { [ "$(rig_owner records "$other")" != "$owner" ]; }
rig_wait_until 15 has_new_owner && echo "another owner"
echo "retry at the new owner: $(send_note "$other" a7 | print_outcome)"
is_new_served() { [ "$(send_note "$other" a8 | print_outcome)" = 200 ]; }
rig_wait_until 10 is_new_served && echo "a new request: 200"
echo "runs: $(curl -s "http://$(rig_service 1)/counts" | jq -c .runs)"
