/** Limits and defaults of the manifest. */

/** Schema version that this release reads. */
export const manifestFormat = 1;
export const maximumManifestBytes = 1_048_576;
/** A signed envelope is larger than the manifest inside it. */
export const maximumEnvelopeBytes = maximumManifestBytes * 2;
export const maximumTasksPerJob = 160;
export const defaultMaximumRequestBytes = 262_144;
/** Answers of keyed requests are replicated, so `maximumRecordedAnswerBytes` of routing limits them further. */
export const defaultMaximumAnswerBytes = 1_048_576;
/** Time for which the claim of an idempotency key or a submission id is kept. */
export const defaultClaimRetentionMs = 24 * 60 * 60 * 1_000;
export const defaultJobDeadlineMs = 60_000;
