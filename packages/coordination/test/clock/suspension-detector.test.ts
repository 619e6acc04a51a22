import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SuspensionDetector } from '../../src/clock/suspension-detector.js'

test('detects a suspension when the time of day advances further than the monotonic clock', () => {
  const detector = SuspensionDetector.create()
  assert.equal(detector.check(0, 1_000_000), false)
  assert.equal(detector.check(500, 1_000_510), false)
  assert.equal(detector.check(600, 1_003_610), true)
  assert.equal(detector.check(700, 1_003_710), false)
})

test('treats a step of the time of day, forward or backward, as a suspension', () => {
  const detector = SuspensionDetector.create()
  detector.check(0, 1_000_000)
  assert.equal(detector.check(100, 998_100), true)
  assert.equal(detector.check(200, 1_000_200), true)
})
