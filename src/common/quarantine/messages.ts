import {z} from 'zod';

/** Maximum number of prompt parts that a crash report names. */
export const maxPartsPerReport = 64;
/** Maximum length of a part id, in characters; longer ids are replaced by their hash. */
export const maxPartLength = 32;
/** Maximum length of the request id in a crash report, in characters; longer ids are cut. */
export const maxRequestIdLength = 128;
/** Maximum number of crash reports, parts and blocks, each, in one message. */
export const maxItemsPerMessage = 32;
/** Maximum number of crash reports that a block names as its evidence. */
export const maxEvidence = 8;

const vmSchema = z.string().max(63);
const idSchema = z.string().max(100);
const serverSchema = z.string().max(300);
const partSchema = z.string().max(maxPartLength);
/** Time since the described fact, in milliseconds; the sender's clock is not comparable to the receiver's. */
const ageSchema = z.number().min(0);

/** States that a server crashed before it produced output for a request, or shortly after the first output. */
const crashReportSchema = z.strictObject({
	id: idSchema,
	server: serverSchema,
	requestId: z.string().max(maxRequestIdLength),
	vm: vmSchema,
	parts: z.array(partSchema).max(maxPartsPerReport),
	/** Whether the server had just begun to produce output for the request. */
	hasOutput: z.boolean(),
	ageMs: ageSchema,
});

/** States that a server produced output on a prompt with the part. */
const soundPartSchema = z.strictObject({part: partSchema, ageMs: ageSchema});

/** States that requests whose prompt contains all of `parts` are refused. */
export const blockRecordSchema = z.strictObject({
	parts: z.array(partSchema).min(1).max(maxPartsPerReport),
	/** Number of consecutive blocks of these parts, this one included. */
	strikes: z.int().min(1).max(100),
	ageMs: ageSchema,
	remainingMs: z.number().min(0),
	/** VM that decided on the block. */
	decidedBy: vmSchema,
	/** Ids of the crash reports on which the decision rests. */
	evidence: z.array(idSchema).max(maxEvidence),
});

/** Crash reports, sound parts and blocks that the receiver may not know yet. */
export const quarantineNewsSchema = z.strictObject({
	type: z.literal('quarantine.news'),
	crashes: z.array(crashReportSchema).max(maxItemsPerMessage),
	sound: z.array(soundPartSchema).max(maxItemsPerMessage),
	blocks: z.array(blockRecordSchema).max(maxItemsPerMessage),
});

export type QuarantineNews = z.infer<typeof quarantineNewsSchema>;
export type BlockRecord = z.infer<typeof blockRecordSchema>;
