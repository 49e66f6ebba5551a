import {z} from 'zod';

export const entryPointAnswerSchema = z.strictObject({
	entryPoints: z.array(z.strictObject({address: z.string(), zone: z.string()})),
	/** How long callers may keep the answer, in milliseconds. */
	validForMs: z.int().positive(),
});

export type EntryPointAnswer = z.infer<typeof entryPointAnswerSchema>;

/** Chooses the entry VMs that a tenant's callers should use. */
export abstract class EntryPointService {
	/** `zone` is the caller's availability zone, when it tells. */
	abstract answer(tenant: string | undefined, zone: string | undefined): EntryPointAnswer;
}
