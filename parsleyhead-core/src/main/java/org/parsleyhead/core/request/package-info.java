/** The life of one request: authorization, admission, dispatch, retry, resume and settlement. */
package org.parsleyhead.core.request;
