-- A light that can be switched on and then stays on. Verifies that the analyzer runs and supports
-- temporal operators.
module smoke

one sig Light { var on: lone Light }

fact behaviour {
  no on
  always (on in on' )
}

pred light_can_change_pred { eventually some on }
assert light_stays_on_assertion { always (some on implies always some on) }
assert light_never_changes_assertion { always no on }

light_can_change: run light_can_change_pred for 1 but 1..5 steps
light_stays_on: check light_stays_on_assertion for 1 but 1..5 steps
light_never_changes: check light_never_changes_assertion for 1 but 1..5 steps
