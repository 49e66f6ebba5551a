import ModernError from 'modern-errors';

/** Where and why an error occurred. */
export type ErrorContext = {
	/** The failed step of a protocol or of the program, such as `consensus.append`. */
	readonly step: string;
	/** The process, upstream or file that the step involved; absent if there is none. */
	readonly peer?: string;
	readonly cause?: unknown;
};

type LocatedErrorOptions = {cause?: unknown; props: {step: string; peer: string | undefined}};

/** An error that names the failed step and the process, upstream or file involved; `peer` is undefined if there is none. */
export type LocatedError = Error & {readonly step: string; readonly peer: string | undefined};

/** Type given to the error classes that `subclass()` returns. It omits the plugin types of `modern-errors`: with them, the linter would not recognize instances as errors. */
type ErrorClass = new (message: string, options: LocatedErrorOptions) => LocatedError;

const baseError = ModernError.subclass('JasmineheadError', {props: {step: '', peer: undefined as string | undefined}});

/* eslint-disable @typescript-eslint/naming-convention -- these constants are classes, which have Pascal case */

/** Base class of the errors that this project throws. */
export const JasmineheadError: ErrorClass = baseError;
/** A settings or configuration document is invalid. */
export const ConfigurationError: ErrorClass = baseError.subclass('ConfigurationError');
/** A message or connection between processes violates the protocol. */
export const ProtocolError: ErrorClass = baseError.subclass('ProtocolError');
/** An operation did not complete before its deadline. */
export const TimeoutError: ErrorClass = baseError.subclass('TimeoutError');
/** A file cannot be read or written, or its contents are corrupt. */
export const StorageError: ErrorClass = baseError.subclass('StorageError');
/** An upstream failed or refused a request. */
export const UpstreamError: ErrorClass = baseError.subclass('UpstreamError');

/* eslint-enable @typescript-eslint/naming-convention */

/** Builds the options of the error constructors, as in `new ProtocolError('…', errorContext({step: 'transport.hello', peer}))`. */
export function errorContext({step, peer, cause}: ErrorContext): LocatedErrorOptions {
	return {...(cause !== undefined && {cause}), props: {step, peer}};
}
