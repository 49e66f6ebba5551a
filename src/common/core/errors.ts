import ModernError from 'modern-errors';

/** Where an error arose. */
export type ErrorContext = {
	/** The step of the protocol or program that failed, such as `consensus.append`. */
	readonly step: string;
	/** The process, upstream or file on the other side. */
	readonly peer?: string;
	readonly cause?: unknown;
};

type ErrorOptions = {cause?: unknown; props: {step: string; peer: string | undefined}};

/** An error that names its step and, where there is one, its peer. */
export type LocatedError = Error & {readonly step: string; readonly peer: string | undefined};

/** What `subclass()` returns, without the plugin types that hide from the linter that instances are errors. */
type ErrorClass = new (message: string, options: ErrorOptions) => LocatedError;

const baseError = ModernError.subclass('JasmineheadError', {props: {step: '', peer: undefined as string | undefined}});

/* eslint-disable @typescript-eslint/naming-convention -- these constants are classes, which have Pascal case */

/** Base of the project's errors. */
export const JasmineheadError: ErrorClass = baseError;
/** A settings or configuration document that fails its checks. */
export const ConfigurationError: ErrorClass = baseError.subclass('ConfigurationError');
/** A message or connection between processes that violates the protocol. */
export const ProtocolError: ErrorClass = baseError.subclass('ProtocolError');
/** A deadline that passed. */
export const TimeoutError: ErrorClass = baseError.subclass('TimeoutError');
/** A file that cannot be read, written or trusted. */
export const StorageError: ErrorClass = baseError.subclass('StorageError');
/** An upstream that failed or refused. */
export const UpstreamError: ErrorClass = baseError.subclass('UpstreamError');

/* eslint-enable @typescript-eslint/naming-convention */

/** Options for the constructors above: `new ProtocolError('…', at({step: 'transport.hello', peer}))`. */
export function at({step, peer, cause}: ErrorContext): ErrorOptions {
	return {...(cause !== undefined && {cause}), props: {step, peer}};
}
