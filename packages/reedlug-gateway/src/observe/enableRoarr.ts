/**
 * Turns roarr on. It is silent unless `ROARR_LOG` is set before it is loaded, so
 * this module stands before it; `ROARR_LOG=false` still silences the logs.
 */
process.env['ROARR_LOG'] ??= 'true';
